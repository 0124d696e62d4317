package notchpick.app;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** A section of the platform's settings, with its path, so that error messages can name the invalid field. */
final class SettingsSection {
    private static final Pattern ADDRESS = Pattern.compile("[0-9.]+:[0-9]{1,5}");

    private final JsonNode node;
    private final String path;

    private SettingsSection(JsonNode node, String path) {
        this.node = node;
        this.path = path;
    }

    /** The section that contains all settings. */
    static SettingsSection root(JsonNode root) {
        return new SettingsSection(root, "");
    }

    /** The subsection that this field holds, which must be an object. */
    SettingsSection section(String field) throws InvalidSettingsException {
        JsonNode child = node.get(field);
        if (child == null || !child.isObject()) {
            throw invalid(field, "be an object");
        }
        return new SettingsSection(child, path + field + ".");
    }

    /** The subsections in the array that this field holds. */
    List<SettingsSection> sections(String field) throws InvalidSettingsException {
        List<SettingsSection> sections = new ArrayList<>();
        list(field).forEach(element -> sections.add(new SettingsSection(element, path + field + ".")));
        return sections;
    }

    /** The strings in the array that this field holds. */
    List<String> texts(String field) throws InvalidSettingsException {
        List<String> texts = new ArrayList<>();
        list(field).forEach(element -> texts.add(element.asText()));
        return texts;
    }

    private JsonNode list(String field) throws InvalidSettingsException {
        JsonNode child = node.get(field);
        if (child == null || !child.isArray()) {
            throw invalid(field, "be an array");
        }
        return child;
    }

    /** Whether the field is present. */
    boolean has(String field) {
        return node.has(field);
    }

    /** The value of a field, without a check; a missing node if the field is absent. */
    JsonNode unchecked(String field) {
        return node.path(field);
    }

    /** A string that must not be empty. */
    String text(String field) throws InvalidSettingsException {
        JsonNode child = node.get(field);
        if (child == null || !child.isTextual() || child.asText().isEmpty()) {
            throw invalid(field, "be a non-empty string");
        }
        return child.asText();
    }

    /** An IPv4 address with a port. */
    String address(String field) throws InvalidSettingsException {
        String text = text(field);
        if (!ADDRESS.matcher(text).matches()) {
            throw invalid(field, "be an IPv4 address and a port, such as 10.0.0.1:8080");
        }
        return text;
    }

    /** A number that must be greater than 0. */
    double positive(String field) throws InvalidSettingsException {
        JsonNode child = node.get(field);
        if (child == null || !child.isNumber() || !(child.asDouble() > 0)) {
            throw invalid(field, "be a number greater than 0");
        }
        return child.asDouble();
    }

    /** A number; 0 if the field is absent or can't be converted to a number. */
    double optionalNumber(String field) {
        return node.path(field).asDouble(0);
    }

    /** Creates the exception for an invalid field of this section; the requirement is a phrase that follows "must". */
    InvalidSettingsException invalid(String field, String requirement) {
        JsonNode child = node.get(field);
        return InvalidSettingsException.inField(path + field, child == null ? "" : child.toString(), requirement);
    }
}
