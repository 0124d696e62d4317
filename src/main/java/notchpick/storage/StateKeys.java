package notchpick.storage;

/** The keys in the state store. A key that ends in a slash is a prefix of many keys. */
public final class StateKeys {
    /** The leader key. It is attached to the leader's lease, and every write of the leader requires its version. */
    public static final String LEADER = "leader";
    /** The number of the latest term, and the {@link #FORMAT} of all records. */
    public static final String TERM = "term";
    /** The machine types that the cloud last listed. */
    public static final String MACHINE_TYPES = "types";
    /** The commitments of the teams; see {@link CommitmentsCodec}. */
    public static final String COMMITMENTS = "commitments";
    /** The outcome of each job, which is never deleted; see {@link JobRecordCodec}. */
    public static final String JOB_RECORDS = "job/";
    /** The description of each open job. A new leader reads only open jobs by this prefix; see {@link JobSpecCodec}. */
    public static final String OPEN_JOBS = "open/";
    /** The completed tasks of open jobs; many jobs share a value. See {@link CompletionCodec}. */
    public static final String COMPLETIONS = "done/";
    /** The tasks that may be on a machine; many machines share a value. See {@link LaunchRecordCodec}. */
    public static final String LAUNCHES = "start/";
    /** Machines whose release may have been requested but is not confirmed; see {@link ReleasedMachinesCodec}. */
    public static final String RELEASED_MACHINES = "released";

    /** The record format, stored with the term. Format 1 stored no number and had one record for each machine. */
    public static final int FORMAT = 2;

    private StateKeys() {}

    /** Returns the job id in the key of an open job. */
    public static String openJobId(String key) {
        return key.substring(OPEN_JOBS.length());
    }

    /** Returns the job id in the key of a job record. */
    public static String jobRecordId(String key) {
        return key.substring(JOB_RECORDS.length());
    }
}
