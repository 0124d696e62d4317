package notchpick.coordination.leader.allocation;

/** What keeps the next task of a job from a machine. */
enum PlacementObstacle {
    NONE,
    /** The machine takes no new tasks: it is booting, draining, quarantined, silent or about to be reclaimed. */
    MACHINE_UNAVAILABLE,
    /** The job's specification excludes the machine's type, zone or kind. */
    NOT_ALLOWED,
    /** The machine is an on-demand one, and the job still waits for room on a spot machine. */
    SPOT_PREFERRED,
    /** The zones of the job's other tasks exclude the machine's zone. */
    ZONE_EXCLUDED,
    /** A task of the job has recently failed on the machine. */
    TASK_FAILED_THERE,
    /** The machine is reserved for another team, or for another job of the same team. */
    RESERVED,
    /** Too few resources are free. */
    FULL
}
