package notchpick.coordination.userapi;

import java.util.Optional;
import notchpick.protocol.peer.Progress;

/**
 * Provides the progress of open jobs, from the leader or from its last announcement. The counts may be out of date and
 * are for display only.
 */
@FunctionalInterface
public interface ProgressSource {
    /** The task counts of a job; empty if the job has made no progress or its progress is not known here. */
    Optional<Progress> progress(String job);
}
