package notchpick.coordination.membership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Random;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Changes;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreResult;
import notchpick.protocol.StateStoreResult.Conflict;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.protocol.Transaction;
import notchpick.storage.StateKeys;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;

/**
 * Elects the leader through the state store. The leader key is attached to a state store lease, which the leader
 * renews. The transaction that creates the key also increments the term. Each controller polls and watches the key, and
 * campaigns when it is missing. {@link ElectionState} holds the local view of the leadership.
 *
 * <p>The other controllers rely on a leader's lease having expired before the next election. Therefore a controller never
 * leads with a lease whose end it has requested: it ends the lease of an election only once it can't win that election
 * any more, and it follows, campaigns or leads, but does not do two of these at a time.
 */
public final class LeaderElection extends Actor<LeaderElection.Message> {
    /** The messages of this actor. */
    public sealed interface Message {}

    /** Starts polling the leader key; sent once, when the process starts. */
    public record Begin() implements Message {}

    /** Asks this controller to give up its leadership; ignored if it does not lead. */
    public record StepDown(String reason) implements Message {}

    /** Reports the term and the leader that a peer has sent. */
    public record TermObserved(long term, String leader) implements Message {}

    /** Is notified when this controller starts and stops leading. */
    public interface Listener {
        /** This controller has become the leader. */
        void elected(ElectedTerm term);

        /** The leader lease has been renewed and can't expire before this time of the steady clock, in milliseconds. */
        void leaseRenewed(long leaseUntilMs);

        /** This controller has stopped leading. */
        void deposed();
    }

    /** The maximum number of polls of the leader key per leader lease. */
    private static final int POLLS_PER_LEASE = 12;
    /** The number of renewals per leader lease. */
    private static final int RENEWALS_PER_LEASE = 5;
    /** After stepping down, a controller does not campaign for this many leader leases, so that another is elected. */
    private static final int HOLDOFF_LEASES = 4;
    /** The maximum jitter of a poll triggered by the watch is the poll interval divided by this. */
    private static final int WATCH_JITTER_PART = 4;

    private static final String NODE_FIELD = "node";
    private static final String TERM_FIELD = "term";
    private static final String FORMAT_FIELD = "format";

    private final String node;
    private final StateStoreClient stateStore;
    private final Random random;
    private final Listener listener;
    private final long leaseMs;
    private final long pollIntervalMs;
    private final ElectionDelay electionDelay;
    private final ElectionState state;
    private boolean formatIncompatible;
    private boolean watching;
    /** The number of the newest scheduled poll. Polls scheduled earlier do nothing when they are due. */
    private long lastScheduledPoll;

    /** @param electionDelay how long to wait before campaigning, so that better connected controllers come first */
    public LeaderElection(
            EventLoop loop,
            String node,
            StateStoreClient stateStore,
            Random random,
            long leaseMs,
            ElectionDelay electionDelay,
            Listener listener) {
        super(loop);
        this.node = node;
        this.stateStore = stateStore;
        this.random = random;
        this.leaseMs = leaseMs;
        this.pollIntervalMs = leaseMs / POLLS_PER_LEASE;
        this.electionDelay = electionDelay;
        this.listener = listener;
        this.state = new ElectionState(node);
    }

    /** The last known leader; null if none is known. */
    public String leader() {
        return state.leader();
    }

    /** The newest known term. */
    public long term() {
        return state.term();
    }

    /** Whether the state store holds records in the format of another version, which must not be used or changed. */
    public boolean isFormatIncompatible() {
        return formatIncompatible;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            poll();
        } else if (message instanceof StepDown stepDown) {
            stepDown(stepDown.reason());
        } else if (message instanceof TermObserved observed) {
            handleTermObserved(observed);
        }
    }

    private void stepDown(String reason) {
        if (state.isLeading()) {
            log.info("stepping down: term={} reason=\"{}\"", state.term(), reason);
            state.holdOffUntil(loop.nowMs() + HOLDOFF_LEASES * leaseMs);
            resign();
        }
    }

    /** Deposes this controller if a peer reports a later term, which works even if the state store is unreachable. */
    private void handleTermObserved(TermObserved observed) {
        long formerTerm = state.term();
        if (state.observeTerm(observed.term(), observed.leader()) && state.isLeading()) {
            log.info(
                    "leader deposed: term={} reason=\"a later term has begun\" laterTerm={} leader={}",
                    formerTerm,
                    observed.term(),
                    observed.leader());
            resign();
        }
    }

    private void resign() {
        state.stopLeading();
        listener.deposed();
        stateStore.endLease(state.lease(), onLoop(ended -> {}));
        schedulePoll(pollIntervalMs);
    }

    private void schedulePoll() {
        schedulePoll(pollIntervalMs + random.nextInt((int) pollIntervalMs));
    }

    private void schedulePoll(long delayMs) {
        long number = ++lastScheduledPoll;
        schedule(delayMs, () -> {
            if (number == lastScheduledPoll) {
                poll();
            }
        });
    }

    private void poll() {
        if (!state.isFollowing()) {
            return;
        }
        stateStore.getHedged(StateKeys.LEADER, onLoopInPhase(this::handleLeaderKeyResult));
    }

    /** Drops the answer if the phase in which the request is sent has ended when the answer arrives. */
    private <T> Consumer<T> onLoopInPhase(Consumer<T> callback) {
        long generation = state.generation();
        return onLoop(answer -> {
            if (state.isCurrent(generation)) {
                callback.accept(answer);
            }
        });
    }

    private void handleLeaderKeyResult(StateStoreResult<Entry> result) {
        if (result instanceof Ok<Entry> ok) {
            state.clearVacancy();
            handleLeaderKey(ok.value());
        } else if (result instanceof Missing<Entry>) {
            handleLeaderKeyMissing();
        } else {
            state.clearVacancy();
            schedulePoll();
        }
    }

    private void handleLeaderKey(Entry key) {
        String holder = key.value().path(NODE_FIELD).asText();
        if (state.isHolder(holder)) {
            // The key is from before a restart of this controller, from a campaign that it has abandoned, or from a
            // term
            // that it has ended. It can't be from an election that may still be won, as no campaign has begun since the
            // key was requested.
            log.info("removing own leader key: term={} lease={}", key.value().path(TERM_FIELD), key.lease());
            state.clearLeader();
            stateStore.endLease(key.lease(), onLoop(ended -> schedulePoll()));
            return;
        }
        state.recordLeader(key.value().path(TERM_FIELD).asLong(), holder);
        watch(key.version());
        schedulePoll();
    }

    private void handleLeaderKeyMissing() {
        long nowMs = loop.nowMs();
        state.recordVacancy(nowMs);
        if (state.isHoldoffOver(nowMs) && state.isVacantFor(electionDelay.delayMs(), nowMs)) {
            campaign();
        } else {
            state.clearLeader();
            schedulePoll();
        }
    }

    /**
     * Watches the leader key, which detects its deletion sooner than polling does. Running controllers therefore
     * campaign before one that is just starting and, in a rolling upgrade, before versions that only poll. The jitter
     * keeps the controllers from campaigning at the same time.
     */
    private void watch(long version) {
        if (watching) {
            return;
        }
        watching = true;
        stateStore.changes(StateKeys.LEADER, version, leaseMs, onLoop(result -> {
            watching = false;
            if (state.isFollowing() && result instanceof Ok<Changes> ok && isLeaderKeyDeleted(ok.value())) {
                schedulePoll(random.nextInt((int) Math.max(1, pollIntervalMs / WATCH_JITTER_PART)));
            }
        }));
    }

    private static boolean isLeaderKeyDeleted(Changes changes) {
        return changes.log().stream().anyMatch(change -> change.value() == null);
    }

    private void campaign() {
        state.startCampaign();
        stateStore.get(StateKeys.TERM, onLoopInPhase(result -> {
            if (result instanceof Ok<Entry> ok) {
                JsonNode record = ok.value().value();
                checkFormat(record.path(FORMAT_FIELD).asInt(1));
                if (formatIncompatible) {
                    followAgain();
                } else {
                    requestLease(record.path(TERM_FIELD).asLong(), ok.value().version());
                }
            } else if (result instanceof Missing<Entry>) {
                requestLease(0, 0);
            } else {
                followAgain();
            }
        }));
    }

    /** Abandons a campaign that has not sent the electing transaction. */
    private void followAgain() {
        state.abandonCampaign();
        schedulePoll();
    }

    private void checkFormat(int format) {
        boolean wasIncompatible = formatIncompatible;
        formatIncompatible = format != StateKeys.FORMAT;
        if (formatIncompatible && !wasIncompatible) {
            log.error(
                    "not serving: reason=\"incompatible records in the state store\" format={} supportedFormat={}",
                    format,
                    StateKeys.FORMAT);
        }
    }

    private void requestLease(long formerTerm, long termVersion) {
        long sentAtMs = loop.nowMs();
        stateStore.grantLease(leaseMs, onLoopInPhase(result -> {
            if (result instanceof Ok<Long> granted) {
                commitElection(formerTerm + 1, termVersion, granted.value(), sentAtMs);
            } else {
                followAgain();
            }
        }));
    }

    /** Creates the leader key, provided that it does not exist and the term is unchanged since it was read. */
    private void commitElection(long newTerm, long termVersion, long newLease, long leaseRequestedAtMs) {
        Transaction transaction = new Transaction()
                .requireVersion(StateKeys.LEADER, 0)
                .requireVersion(StateKeys.TERM, termVersion)
                .put(StateKeys.LEADER, Json.object().put(NODE_FIELD, node).put(TERM_FIELD, newTerm), newLease)
                .put(StateKeys.TERM, Json.object().put(TERM_FIELD, newTerm).put(FORMAT_FIELD, StateKeys.FORMAT));
        stateStore.commit(transaction, onLoopInPhase(result -> {
            if (result instanceof Ok<Long> version && state.term() <= newTerm) {
                log.info("leader elected: term={} leader={} lease={}", newTerm, node, newLease);
                state.startLeading(newTerm, newLease);
                listener.elected(new ElectedTerm(newTerm, version.value(), safelyHeldUntilMs(leaseRequestedAtMs)));
                scheduleRenewal();
            } else {
                log.info(
                        "campaign abandoned: term={} lease={} knownTerm={} result={}",
                        newTerm,
                        newLease,
                        state.term(),
                        result);
                abandonElection(result, newLease);
            }
        }));
    }

    private void abandonElection(StateStoreResult<Long> result, long unusedLease) {
        state.abandonCampaign();
        // If only the response was lost, the key may exist or still appear. Ending the lease deletes it.
        stateStore.endLease(unusedLease, onLoop(ended -> {}));
        if (result instanceof Conflict<Long>) {
            poll();
        } else {
            schedulePoll();
        }
    }

    private long safelyHeldUntilMs(long requestedAtMs) {
        return requestedAtMs + Deployment.leaseSafelyHeldMs(leaseMs);
    }

    private void scheduleRenewal() {
        long generation = state.generation();
        schedule(leaseMs / RENEWALS_PER_LEASE, () -> {
            if (state.isCurrent(generation)) {
                renewLease();
            }
        });
    }

    private void renewLease() {
        long sentAtMs = loop.nowMs();
        stateStore.renewLease(state.lease(), onLoopInPhase(result -> handleLeaseRenewal(result, sentAtMs)));
    }

    private void handleLeaseRenewal(StateStoreResult<Boolean> result, long sentAtMs) {
        if (result instanceof Missing<Boolean>) {
            log.info("leader lease lost: term={} lease={}", state.term(), state.lease());
            state.loseLease();
            listener.deposed();
            poll();
            return;
        }
        if (result instanceof Ok<Boolean>) {
            listener.leaseRenewed(safelyHeldUntilMs(sentAtMs));
        }
        scheduleRenewal();
    }
}
