package notchpick.coordination.userapi;

import java.util.Optional;
import notchpick.protocol.peer.Progress;

/** Knows how far open jobs have come: the leader, or what it last announced. For display only. */
@FunctionalInterface
public interface ProgressSource {
    /** The task counts of a job; empty if the job has made no progress, or none is known. */
    Optional<Progress> progress(String job);
}
