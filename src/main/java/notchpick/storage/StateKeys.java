package notchpick.storage;

/** The keys of the state store; a name that ends in a slash is a prefix. */
public final class StateKeys {
    /** The leader key; it is attached to the leader's lease, and its version guards every write of the leader. */
    public static final String LEADER = "leader";
    /** The number of the newest term, and the {@link #FORMAT} of all records. */
    public static final String TERM = "term";
    /** The machine types that the cloud last listed. */
    public static final String MACHINE_TYPES = "types";
    /** The commitments of the teams; see {@link CommitmentsCodec}. */
    public static final String COMMITMENTS = "commitments";
    /** How each job ended, kept for good; see {@link JobRecordCodec}. */
    public static final String JOB_RECORDS = "job/";
    /** The description of each open job, so that a new leader reads open work only; see {@link JobSpecCodec}. */
    public static final String OPEN_JOBS = "open/";
    /** Completed tasks of open jobs; many jobs share a value. See {@link CompletionCodec}. */
    public static final String COMPLETIONS = "done/";
    /** Tasks that may be on machines; many machines share a value. See {@link LaunchRecordCodec}. */
    public static final String LAUNCHES = "start/";
    /** Machines whose release may have been requested and is not confirmed; see {@link ReleasedMachinesCodec}. */
    public static final String RELEASED_MACHINES = "released";

    /** The format of the records, kept with the term. The first had no number, and a record for each machine. */
    public static final int FORMAT = 2;

    private StateKeys() {}

    /** The id of the job that the key of an open job belongs to. */
    public static String openJobId(String key) {
        return key.substring(OPEN_JOBS.length());
    }

    /** The id of the job that the key of a job record belongs to. */
    public static String jobRecordId(String key) {
        return key.substring(JOB_RECORDS.length());
    }
}
