package notchpick.protocol;

/** Names of fields that occur in several messages of users, workers and the cloud. */
final class WireFields {
    /** The id of a job, or the name of a machine in the cloud's list. */
    static final String REFERENCE = "ref";

    static final String MACHINE_TYPE = "boxKind";
    static final String MACHINE_TYPES = "boxKinds";
    static final String ZONE = "site";
    static final String ZONES = "sites";
    static final String SPOT = "borrowed";
    static final String CORES = "cores";
    static final String GPUS = "gpus";
    static final String RAM_GB = "ramGb";
    static final String TASK = "piece";
    static final String TASKS = "pieces";
    static final String ATTEMPT = "tryNo";
    static final String FENCING_TOKEN = "mandate";
    static final String STATUS = "status";
    static final String ERROR = "error";

    /** The maximum of every amount, in the unit of its field. */
    static final double MAX_AMOUNT = 1e9;

    private WireFields() {}
}
