package notchpick.app;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** A part of the platform's settings that knows its path, so that each error names the field. */
final class SettingsSection {
    private static final Pattern ADDRESS = Pattern.compile("[0-9.]+:[0-9]{1,5}");

    private final JsonNode node;
    private final String path;

    private SettingsSection(JsonNode node, String path) {
        this.node = node;
        this.path = path;
    }

    /** The whole of the settings. */
    static SettingsSection root(JsonNode root) {
        return new SettingsSection(root, "");
    }

    /** An object in this section. */
    SettingsSection section(String field) throws InvalidSettingsException {
        JsonNode child = node.get(field);
        if (child == null || !child.isObject()) {
            throw invalid(field, "be an object");
        }
        return new SettingsSection(child, path + field + ".");
    }

    /** The elements of a list in this section. */
    List<SettingsSection> sections(String field) throws InvalidSettingsException {
        List<SettingsSection> sections = new ArrayList<>();
        list(field).forEach(element -> sections.add(new SettingsSection(element, path + field + ".")));
        return sections;
    }

    /** The elements of a list of texts in this section. */
    List<String> texts(String field) throws InvalidSettingsException {
        List<String> texts = new ArrayList<>();
        list(field).forEach(element -> texts.add(element.asText()));
        return texts;
    }

    private JsonNode list(String field) throws InvalidSettingsException {
        JsonNode child = node.get(field);
        if (child == null || !child.isArray()) {
            throw invalid(field, "be a list");
        }
        return child;
    }

    /** Whether the field is present. */
    boolean has(String field) {
        return node.has(field);
    }

    /** The value of a field that is not checked; a missing node if there is none. */
    JsonNode unchecked(String field) {
        return node.path(field);
    }

    /** A text that is not empty. */
    String text(String field) throws InvalidSettingsException {
        JsonNode child = node.get(field);
        if (child == null || !child.isTextual() || child.asText().isEmpty()) {
            throw invalid(field, "be text");
        }
        return child.asText();
    }

    /** A numeric address with a port. */
    String address(String field) throws InvalidSettingsException {
        String text = text(field);
        if (!ADDRESS.matcher(text).matches()) {
            throw invalid(field, "have the form 10.0.0.1:8080");
        }
        return text;
    }

    /** A number above 0. */
    double positive(String field) throws InvalidSettingsException {
        JsonNode child = node.get(field);
        if (child == null || !child.isNumber() || !(child.asDouble() > 0)) {
            throw invalid(field, "be a number above 0");
        }
        return child.asDouble();
    }

    /** A number; 0 if there is none. */
    double optionalNumber(String field) {
        return node.path(field).asDouble(0);
    }

    /** The error that a field of this section does not meet a requirement, in words that follow "must". */
    InvalidSettingsException invalid(String field, String requirement) {
        JsonNode child = node.get(field);
        return InvalidSettingsException.inField(path + field, child == null ? "" : child.toString(), requirement);
    }
}
