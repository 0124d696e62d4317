package notchpick.protocol;

/** What another party sent does not follow the protocol. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidMessageException(String message) {
        super(message, null, false, false);
    }
}
