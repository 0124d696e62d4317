package notchpick;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import notchpick.simulation.SimulatedNetwork.Cut;
import notchpick.simulation.SimulatedWorker;

/**
 * Faults that {@link FaultCombinationTest} injects. Its seeds select them by their position, so new ones go to the end.
 */
enum Fault {
    LEADER_CRASHES((run, leader, durationMs) -> run.controllers().crash(leader, run.between(200, 8000))),
    CONTROLLER_CRASHES((run, leader, durationMs) -> run.controllers().crash(run.anyNode(), run.between(200, 8000))),
    ALL_CONTROLLERS_CRASH((run, leader, durationMs) -> {
        long restartMs = Math.min(durationMs, 40_000);
        run.nodes().forEach(node -> run.controllers().crash(node, restartMs));
    }),
    LEADER_FREEZES((run, leader, durationMs) -> run.controllers().freeze(leader, Math.min(durationMs, 25_000))),
    LEADER_REFUSED((run, leader, durationMs) -> {
        run.stateStore().setRefused(leader, true);
        run.runLater(
                durationMs,
                leader + " is accepted by the state store again",
                () -> run.stateStore().setRefused(leader, false));
    }),
    OUTAGE((run, leader, durationMs) -> {
        run.stateStore().setOutage(true);
        run.runLater(durationMs, "outage ended", () -> run.stateStore().setOutage(false));
    }),
    WRITES_APPLIED_LATE((run, leader, durationMs) -> leaveWritesUnanswered(run, durationMs, false)),
    WRITES_UNANSWERED((run, leader, durationMs) -> leaveWritesUnanswered(run, durationMs, true)),
    HEARTBEATS_DUPLICATED((run, leader, durationMs) -> duplicateHeartbeats(run, durationMs, false)),
    HEARTBEATS_DUPLICATED_FOR_NEXT_LEADER((run, leader, durationMs) -> duplicateHeartbeats(run, durationMs, true)),
    MACHINES_LOSE_INCOMING(
            (run, leader, durationMs) -> run.injectMachineFault(durationMs, SimulatedWorker::setInboundLost)),
    MACHINES_LOSE_HEARTBEATS(
            (run, leader, durationMs) -> run.injectMachineFault(durationMs, SimulatedWorker::setOutboundLost)),
    MACHINES_HANG((run, leader, durationMs) -> run.workers().stream()
            .limit(run.between(1, 6))
            .forEach(worker -> run.cluster().fleet().hang(worker, Math.min(durationMs, 30_000)))),
    LEADER_LOSES_STATE_AND_PEERS((run, leader, durationMs) -> {
        run.cut(leader, "state", durationMs);
        run.nodesExcept(leader).forEach(node -> run.cut(leader, node, durationMs));
    }),
    ZONE_CUT((run, leader, durationMs) -> run.cut("zone-east", "outside-east", durationMs)),
    LEADER_LOSES_WORKERS((run, leader, durationMs) -> run.cut(leader, "workers", durationMs)),
    ANSWERS_HELD((run, leader, durationMs) -> {
        run.network().cutOneWay(leader, "workers", Cut.HOLD);
        run.runLater(
                Math.min(durationMs, 6000),
                "answers are delivered again",
                () -> run.network().heal(leader, "workers"));
    }),
    WATCHES_HANG((run, leader, durationMs) -> {
        run.stateStore().setWatchesHanging(true);
        run.runLater(
                durationMs, "watches are answered again", () -> run.stateStore().setWatchesHanging(false));
    }),
    LISTS_SLOW((run, leader, durationMs) -> {
        run.stateStore().setListDelay(run.between(500, 4000));
        run.runLater(durationMs, "list delay ended", () -> run.stateStore().setListDelay(0));
    }),
    MACHINES_DIE((run, leader, durationMs) -> run.reclaimMachines(8)),
    LINKS_SLOW((run, leader, durationMs) -> {
        List<String> ends = new ArrayList<>(List.of("controllers", "workers-east", "workers-west", "state"));
        Collections.shuffle(ends, run.random());
        run.slowDown(ends.get(0), ends.get(1), durationMs);
        run.slowDown(ends.get(1), ends.get(0), durationMs);
    }),
    LEADER_SLOW((run, leader, durationMs) -> {
        run.slowDown(leader, run.random().nextBoolean() ? "state" : "controllers", durationMs);
        run.slowDown(run.random().nextBoolean() ? "state" : "workers", leader, durationMs);
    }),
    ANSWERS_HELD_BY_PEERS((run, leader, durationMs) -> {
        run.cut(leader, "workers", durationMs);
        run.slowDown(leader, "controllers", durationMs);
        run.slowDown("controllers", "workers", durationMs);
    }),
    MACHINES_REPLACED_QUICKLY((run, leader, durationMs) -> {
        run.cloud().setBootTimeFactor(0.1);
        run.reclaimMachines(6);
        run.runLater(
                durationMs, "boot times are normal again", () -> run.cloud().setBootTimeFactor(1));
    }),
    INVALID_REQUESTS((run, leader, durationMs) -> Submissions.sendInvalid(run.cluster(), FaultRun.JOBS.get(0))),
    /** Stops some controllers. The resource leases of teams are divided among the controllers that send heartbeats. */
    OTHER_CONTROLLERS_LOSE_POWER((run, leader, durationMs) -> {
        List<String> others = new ArrayList<>(run.nodesExcept(leader));
        Collections.shuffle(others, run.random());
        others.stream()
                .limit(run.between(1, 3))
                .forEach(node -> run.controllers().losePower(node, Math.min(durationMs, 20_000)));
    }),
    JOBS_CANCELLED_TOGETHER((run, leader, durationMs) -> run.cancelRunning((int) run.between(3, 6))),
    FORMER_LEADER_RESUMES((run, leader, durationMs) -> {
        run.slowDown(leader, "workers", 9000);
        run.controllers().freeze(leader, run.between(2000, 9000));
    }),
    STATE_STORE_ANSWERS_LATE((run, leader, durationMs) -> {
        run.cluster().delayAnswers(0.25, 1400);
        run.runLater(
                durationMs,
                "the state store answers in time again",
                () -> run.cluster().delayAnswers(0, 0));
    }),
    /** The next leader learns of its election late, and reads the leader key while it waits. */
    ELECTION_ANSWERED_LATE((run, leader, durationMs) -> {
        run.cluster().holdWatchesUntilElection(run.between(0, 300));
        run.cluster().delayNextAnswers("commit", "\"put\":\"leader\"", run.between(100, 1400), 1);
        run.controllers().crash(leader, run.between(200, 8000));
    }),
    /** Many small jobs end together while answers to transactions are late, so that their ends take several. */
    LEADER_CRASHES_BETWEEN_TRANSACTIONS((run, leader, durationMs) -> {
        run.submitJobsThatEndTogether();
        run.cluster().delayNextAnswers("commit", "\"done/", run.between(500, 1400), 4);
        List<String> prefixes = List.of("done/", "done/", "job/", "start/", "open/", "released");
        String prefix = prefixes.get(run.random().nextInt(prefixes.size()));
        long restartMs = run.between(200, 8000);
        run.runLater(
                run.between(0, 9000),
                "the leader crashes after its next write of " + prefix,
                () -> run.cluster().crashLeaderAfterNextWrite(prefix, restartMs));
    });

    /** Applies a fault to the cluster. */
    private interface Injection {
        void inject(FaultRun run, String leader, long durationMs);
    }

    private final Injection injection;

    Fault(Injection injection) {
        this.injection = injection;
    }

    /**
     * Starts the fault and schedules its end.
     *
     * @param leader the leader, or any controller while there is no leader
     * @param durationMs how long the fault lasts, unless the fault sets a shorter bound
     */
    void inject(FaultRun run, String leader, long durationMs) {
        injection.inject(run, leader, durationMs);
    }

    private static void leaveWritesUnanswered(FaultRun run, long durationMs, boolean appliedImmediately) {
        run.stateStore().setUnansweredCommits(0.4, appliedImmediately);
        run.runLater(
                durationMs, "writes are answered again", () -> run.stateStore().setUnansweredCommits(0, false));
    }

    private static void duplicateHeartbeats(FaultRun run, long durationMs, boolean forNextLeader) {
        run.cluster().duplicateHeartbeats(0.5, forNextLeader);
        run.runLater(
                durationMs, "heartbeat duplication ended", () -> run.cluster().duplicateHeartbeats(0, false));
    }
}
