package notchpick.app;

/** Settings that can't be used. The message is one line for operators, which names the file or the field. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;
    private final String value;
    private final String requirement;

    private InvalidSettingsException(String message, String field, String value, String requirement) {
        super(message, null, false, false);
        this.field = field;
        this.value = value;
        this.requirement = requirement;
    }

    /** A file that can't be used as a whole. */
    static InvalidSettingsException inFile(String message) {
        return new InvalidSettingsException(message, "", "", "");
    }

    /**
     * A field of the platform's settings has a value that is not allowed.
     *
     * @param field its path, with dots
     * @param value what was found there, as JSON; empty if the field is missing
     * @param requirement what is allowed, in words that follow "must"
     */
    static InvalidSettingsException inField(String field, String value, String requirement) {
        return new InvalidSettingsException("settings: " + field + " must " + requirement, field, value, requirement);
    }

    /** The path of the field, with dots; empty if the whole file can't be used. */
    public String field() {
        return field;
    }

    /** The value that is not allowed, as JSON; empty if there is none. */
    public String value() {
        return value;
    }

    /** What is allowed, in words that follow "must"; empty if the whole file can't be used. */
    public String requirement() {
        return requirement;
    }
}
