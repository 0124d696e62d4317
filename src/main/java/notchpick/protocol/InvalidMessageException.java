package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/** A message of another party does not follow the protocol. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;
    private final transient JsonNode value;
    private final String requirement;

    /**
     * @param field the field that is at fault
     * @param value its value; null if it is missing
     * @param requirement what the value must be, as the end of a sentence that begins with the field
     */
    public InvalidMessageException(String field, JsonNode value, String requirement) {
        super(field + " " + requirement, null, false, false);
        this.field = field;
        this.value = value;
        this.requirement = requirement;
    }

    /** The whole body is at fault. */
    public static InvalidMessageException notAnObject() {
        return new InvalidMessageException("the body", null, "must be a JSON object");
    }

    public String field() {
        return field;
    }

    public JsonNode value() {
        return value;
    }

    public String requirement() {
        return requirement;
    }
}
