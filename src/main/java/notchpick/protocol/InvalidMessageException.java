package notchpick.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/** Thrown when a received message does not follow the protocol. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;
    private final transient JsonNode value;
    private final String requirement;

    /**
     * @param field the invalid field
     * @param value its value; null if it is missing
     * @param requirement what the value must be, as a predicate such as "must be a number"; the message is the name of
     *     the field followed by this predicate
     */
    public InvalidMessageException(String field, JsonNode value, String requirement) {
        super(field + " " + requirement, null, false, false);
        this.field = field;
        this.value = value;
        this.requirement = requirement;
    }

    /** Creates an exception for a body that is not a JSON object. */
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
