package notchpick.protocol;

/** What another party sent does not follow the protocol. */
public final class InvalidMessage extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidMessage(String message) {
        super(message, null, false, false);
    }
}
