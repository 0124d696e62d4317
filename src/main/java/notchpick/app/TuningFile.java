package notchpick.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
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

/** Reads the operators' own settings, as far as there are any. */
final class TuningFile {
    private TuningFile() {}

    /** Reads and checks the operators' file. */
    static Tuning read(Path file) throws Settings.Unusable {
        ObjectNode node;
        Set<ValidationMessage> faults;
        try (InputStream schemaStream = TuningFile.class.getResourceAsStream("/tuning.schema.json")) {
            node = Json.object(Files.readAllBytes(file));
            if (node == null) {
                throw new Settings.Unusable("the tuning file " + file + " does not hold a JSON object");
            }
            JsonSchema schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(schemaStream);
            faults = schema.validate(node);
        } catch (IOException e) {
            throw new Settings.Unusable("can't read the tuning file " + file);
        }
        if (!faults.isEmpty()) {
            throw new Settings.Unusable("tuning: " + faults.iterator().next().getMessage());
        }
        Tuning standard = Tuning.DEFAULT;
        return new Tuning(
                node.path("commitmentMemoryS").asDouble(standard.commitmentDecayS()),
                node.path("commitmentSaveS").asDouble(standard.commitmentSaveS()),
                node.path("roomLeaseMs").asLong(standard.resourceLeaseMs()),
                node.path("barringWaitS").asDouble(standard.maxSkippedS()),
                node.path("leaderLeaseRatio").asDouble(standard.leaderLeaseRatio()));
    }
}
