package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import notchpick.protocol.StateStoreClient;
import notchpick.simulation.SimulatedStateStore;
import notchpick.simulation.SimulatedTime;
import notchpick.storage.StateKeys;
import notchpick.transport.EventLoop;
import notchpick.transport.HttpCaller.Request;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Seeded random elections of three controllers whose messages to and from the state store are late, lost or doubled.
 * Guards against two leaders at a time: while a controller leads and counts on its lease, the leader key must name it and
 * its term.
 */
class LeaderElectionFaultTest {
    private static final int SEEDS = 200;
    private static final int CONTROLLERS = 3;
    private static final long LEASE_MS = 3300;
    private static final long REQUEST_TIMEOUT_MS = 1500;
    private static final long LATENCY_MS = 2;
    private static final long FAULTS_END_MS = 90_000;
    private static final long SETTLED_MS = 110_000;
    private static final long END_MS = 120_000;
    private static final int MAX_LATE_MS = 2500;
    private static final double LATE_SHARE = 0.2;
    private static final double LOST_SHARE = 0.05;
    private static final double DOUBLED_SHARE = 0.05;
    private static final int MEAN_INCIDENT_INTERVAL_MS = 4000;

    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedStateStore stateStore =
            new SimulatedStateStore(time::nowMs, time::schedule, 12, 100_000, 100_000);
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private Random random;

    static IntStream seeds() {
        return IntStream.rangeClosed(1, SEEDS);
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void leaderKeyNamesEveryControllerThatCountsOnItsLease(int seed) {
        random = new Random(seed);
        for (int i = 0; i < CONTROLLERS; i++) {
            Node node = new Node(i);
            nodes.add(node);
            node.start();
        }
        scheduleIncident();
        scheduleCheck();
        time.runUntil(SETTLED_MS);
        long settledTerm = storedTerm();
        time.runUntil(END_MS);
        assertEquals(List.of(), violations);
        assertEquals(settledTerm, storedTerm(), "the term changed although all faults are over");
        assertEquals(
                List.of(stateStore.value(StateKeys.LEADER).path("node").asText()),
                leaders().map(node -> node.name).toList());
    }

    private long storedTerm() {
        return stateStore.value(StateKeys.TERM).path("term").asLong();
    }

    private Stream<Node> leaders() {
        return nodes.stream().filter(node -> node.electedTerm != null);
    }

    private boolean areFaultsActive() {
        return time.nowMs() < FAULTS_END_MS;
    }

    private void scheduleCheck() {
        time.schedule(1, () -> {
            leaders().forEach(Node::checkLeaderKey);
            scheduleCheck();
        });
    }

    /** Has a random controller crash, pause or step down, or tells it what another one knows about the leader. */
    private void scheduleIncident() {
        time.schedule(random.nextInt(2 * MEAN_INCIDENT_INTERVAL_MS), () -> {
            if (!areFaultsActive()) {
                return;
            }
            Node node = nodes.get(random.nextInt(CONTROLLERS));
            switch (random.nextInt(5)) {
                case 0 -> node.crash(random.nextInt(5000));
                case 1 -> node.frozenUntilMs = time.nowMs() + random.nextInt(6000);
                case 2 -> node.election.tell(new LeaderElection.StepDown("test"));
                default -> leaders().toList().forEach(Node::crashOrAnnounce);
            }
            scheduleIncident();
        });
    }

    /** One controller, with the processes that run one after another under its name. */
    private final class Node {
        private final String name;
        private final double fastPercent;
        private EventLoop loop;
        private LeaderElection election;
        private int generation;
        private long frozenUntilMs;
        /** The term that this controller leads; null if it does not lead. */
        private ElectedTerm electedTerm;

        private long leaseUntilMs;
        private boolean hasViolation;

        Node(int index) {
            name = "n-" + index;
            fastPercent = 0.05 * (index - 1);
        }

        void start() {
            int started = ++generation;
            loop = time.newEventLoop(fastPercent, 0, () -> generation == started, () -> frozenUntilMs);
            StateStoreClient client = new StateStoreClient(
                    (request, timeoutMs, hedged, onResponse) -> send(request, timeoutMs, onResponse),
                    loop,
                    "s:1",
                    REQUEST_TIMEOUT_MS,
                    100_000);
            election = new LeaderElection(loop, name, client, random, LEASE_MS, () -> 0, new Listener());
            election.tell(new LeaderElection.Begin());
        }

        void crash(long restartMs) {
            generation++;
            int crashed = generation;
            electedTerm = null;
            time.schedule(restartMs, () -> {
                if (generation == crashed) {
                    start();
                }
            });
        }

        void crashOrAnnounce() {
            if (random.nextInt(3) == 0) {
                crash(random.nextInt(5000));
            } else {
                nodes.forEach(other ->
                        other.election.tell(new LeaderElection.TermObserved(election.term(), election.leader())));
            }
        }

        /** Delivers a request at once, late, twice or not at all, and its answer at once, late or not at all. */
        private void send(Request request, long timeoutMs, Consumer<Response> onResponse) {
            Consumer<Response> answerOnce = once(onResponse);
            Request sent = new Request(name, request.method(), request.path(), request.body());
            time.schedule(timeoutMs, () -> answerOnce.accept(Response.UNANSWERED));
            deliver(sent, answerOnce);
            if (areFaultsActive() && random.nextDouble() < DOUBLED_SHARE) {
                deliver(sent, answerOnce);
            }
        }

        private void deliver(Request request, Consumer<Response> answerOnce) {
            if (!isLost()) {
                time.schedule(
                        delayMs(),
                        () -> stateStore.handle(request, answer -> {
                            if (!isLost()) {
                                time.schedule(delayMs(), () -> answerOnce.accept(answer));
                            }
                        }));
            }
        }

        private boolean isLost() {
            return areFaultsActive() && random.nextDouble() < LOST_SHARE;
        }

        private long delayMs() {
            boolean isLate = areFaultsActive() && random.nextDouble() < LATE_SHARE;
            return LATENCY_MS + (isLate ? random.nextInt(MAX_LATE_MS) : 0);
        }

        private Consumer<Response> once(Consumer<Response> onResponse) {
            boolean[] answered = {false};
            return response -> {
                if (!answered[0]) {
                    answered[0] = true;
                    onResponse.accept(response);
                }
            };
        }

        void checkLeaderKey() {
            if (loop.nowMs() >= leaseUntilMs || hasViolation) {
                return;
            }
            var key = stateStore.value(StateKeys.LEADER);
            if (key == null
                    || !key.path("node").asText().equals(name)
                    || key.path("term").asLong() != electedTerm.number()) {
                hasViolation = true;
                violations.add(name + " leads term " + electedTerm.number() + " while the leader key is " + key + " at "
                        + time.nowMs());
            }
        }

        private final class Listener implements LeaderElection.Listener {
            @Override
            public void elected(ElectedTerm term) {
                if (electedTerm != null) {
                    violations.add(name + " is elected for term " + term.number() + " while it leads term "
                            + electedTerm.number() + " at " + time.nowMs());
                }
                electedTerm = term;
                leaseUntilMs = term.leaseUntilMs();
            }

            @Override
            public void leaseRenewed(long untilMs) {
                leaseUntilMs = untilMs;
            }

            @Override
            public void deposed() {
                electedTerm = null;
            }
        }
    }
}
