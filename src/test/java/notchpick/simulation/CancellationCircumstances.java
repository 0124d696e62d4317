package notchpick.simulation;

import java.util.List;
import notchpick.coordination.Deployment.Quota;
import notchpick.scheduling.Resources;
import notchpick.storage.StateKeys;

/** Counts the circumstances under which cancellations were confirmed to users. */
final class CancellationCircumstances implements SimulatedUsers.CancellationListener {
    /** A cancellation and a refusal of the leader at most this far apart count as simultaneous. */
    private static final long SIMULTANEOUS_MS = 20;
    /** A team is at its limit if it may not take this much more. */
    private static final Resources MIN_HEADROOM = new Resources(1, 0, 0);

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final List<Quota> teams;
    private final SimulatedTime time;
    private final SimulatedStateStore stateStore;
    private final SimulatedControllers controllers;
    private final SimulatedFleet fleet;
    private final OccurrenceCounters occurrences;
    private long leaderRefusedAtMs = NEVER;

    CancellationCircumstances(
            List<Quota> teams,
            SimulatedTime time,
            SimulatedStateStore stateStore,
            SimulatedControllers controllers,
            SimulatedFleet fleet,
            OccurrenceCounters occurrences) {
        this.teams = teams;
        this.time = time;
        this.stateStore = stateStore;
        this.controllers = controllers;
        this.fleet = fleet;
        this.occurrences = occurrences;
    }

    /**
     * Records that the state store refuses the leader's requests from now on.
     *
     * @param cancelRequested the jobs that users have asked to cancel
     */
    void recordLeaderRefusal(List<String> cancelRequested) {
        leaderRefusedAtMs = time.nowMs();
        // A cancellation just before the refusal has already deleted the record of the open job.
        cancelRequested.stream()
                .map(this::openRecordDeletedAtMs)
                .filter(deletedAtMs -> deletedAtMs >= 0 && leaderRefusedAtMs - deletedAtMs <= SIMULTANEOUS_MS)
                .forEach(deletedAtMs -> occurrences.increment(Occurrence.CANCELLED_JUST_BEFORE_LEADER_REFUSED));
    }

    private long openRecordDeletedAtMs(String job) {
        return stateStore.deletedAtMs(StateKeys.OPEN_JOBS + job);
    }

    @Override
    public void cancellationConfirmed(String job) {
        occurrences.increment(Occurrence.CANCELLATION_CONFIRMED);
        long afterRefusalMs = openRecordDeletedAtMs(job) - leaderRefusedAtMs;
        if (afterRefusalMs >= 0 && afterRefusalMs <= SIMULTANEOUS_MS) {
            occurrences.increment(Occurrence.CANCELLED_JUST_AFTER_LEADER_REFUSED);
        }
        if (areAllTeamsAtTheirLimits()) {
            occurrences.increment(Occurrence.CANCELLED_WITH_ALL_TEAMS_AT_LIMIT);
        }
        if (controllers.leader().isEmpty() || controllers.term() == controllers.lastTermEndedByCrash()) {
            occurrences.increment(Occurrence.CANCELLED_WITHOUT_LEADER);
        } else if (stateStore.isRefused(controllers.leader().get())) {
            occurrences.increment(Occurrence.CANCELLED_WHILE_LEADER_REFUSED);
        }
    }

    /** Teams without a limit are ignored; false if no team has a limit. */
    private boolean areAllTeamsAtTheirLimits() {
        List<Quota> limited =
                teams.stream().filter(team -> team.maximum().cores() > 0).toList();
        return !limited.isEmpty()
                && limited.stream()
                        .noneMatch(
                                team -> team.allows(fleet.usageOf(team.team()).plus(MIN_HEADROOM)));
    }
}
