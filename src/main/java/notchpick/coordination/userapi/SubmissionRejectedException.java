package notchpick.coordination.userapi;

/** Thrown when a submission can't be accepted; the message is text for users. */
final class SubmissionRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The kind of rejection, which determines the HTTP status of the reply. */
    enum Reason {
        /** The submission does not follow the protocol. */
        MALFORMED,
        /** The job could never run in this deployment. */
        INFEASIBLE,
        /** This controller does not have the machine types yet, so it can't check the submission. */
        NOT_READY
    }

    private final Reason reason;

    SubmissionRejectedException(Reason reason, String message) {
        super(message, null, false, false);
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }
}
