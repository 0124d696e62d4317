package notchpick.model;

/** The status of a job; {@link #DONE} and {@link #CANCELLED} are final. */
public enum JobStatus {
    OPEN,
    DONE,
    CANCELLED
}
