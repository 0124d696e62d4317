package notchpick.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import notchpick.coordination.Tuning;
import notchpick.protocol.Json;

/** Reads the operators' settings file. The file is optional, and so is each of its fields. */
final class TuningFile {
    private static final String SCHEMA_RESOURCE = "/tuning.schema.json";

    private TuningFile() {}

    /**
     * Reads the file and validates it against the schema.
     *
     * @throws InvalidSettingsException if the file can't be read, or does not match the schema
     */
    static Tuning read(Path file) throws InvalidSettingsException {
        try (InputStream schema = TuningFile.class.getResourceAsStream(SCHEMA_RESOURCE)) {
            ObjectNode node = Json.object(Files.readAllBytes(file));
            if (node == null) {
                throw InvalidSettingsException.inFile("the tuning file " + file + " must contain a JSON object");
            }
            validate(node, schema);
            return tuning(node);
        } catch (IOException e) {
            throw InvalidSettingsException.inFile("can't read the tuning file " + file);
        }
    }

    private static void validate(ObjectNode node, InputStream schema) throws InvalidSettingsException {
        Set<ValidationMessage> violations = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                .getSchema(schema)
                .validate(node);
        if (!violations.isEmpty()) {
            throw InvalidSettingsException.inFile(
                    "tuning: " + violations.iterator().next().getMessage());
        }
    }

    private static Tuning tuning(ObjectNode node) {
        Tuning defaults = Tuning.DEFAULT;
        return new Tuning(
                node.path("commitmentMemoryS").asDouble(defaults.commitmentDecayS()),
                node.path("commitmentSaveS").asDouble(defaults.commitmentSaveS()),
                node.path("roomLeaseMs").asLong(defaults.resourceLeaseMs()),
                node.path("barringWaitS").asDouble(defaults.maxSkippedS()),
                node.path("leaderLeaseRatio").asDouble(defaults.leaderLeaseRatio()));
    }
}
