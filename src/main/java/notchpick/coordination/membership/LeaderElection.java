package notchpick.coordination.membership;

import java.util.Random;
import java.util.function.Consumer;
import notchpick.coordination.Deployment;
import notchpick.coordination.membership.Campaign.IncompatibleFormat;
import notchpick.coordination.membership.Campaign.NotElected;
import notchpick.coordination.membership.Campaign.Won;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Changes;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreResult;
import notchpick.protocol.StateStoreResult.Missing;
import notchpick.protocol.StateStoreResult.Ok;
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
            handleLeaderKey(LeaderKey.decode(ok.value()));
        } else if (result instanceof Missing<Entry>) {
            handleLeaderKeyMissing();
        } else {
            state.clearVacancy();
            schedulePoll();
        }
    }

    private void handleLeaderKey(LeaderKey key) {
        if (state.isHolder(key.holder())) {
            // The key is from before a restart of this controller, from a campaign that it has abandoned, or from a
            // term
            // that it has ended. It can't be from an election that may still be won, as no campaign has begun since the
            // key was requested.
            log.info("removing own leader key: term={} lease={}", key.term(), key.lease());
            state.clearLeader();
            stateStore.endLease(key.lease(), onLoop(ended -> schedulePoll()));
            return;
        }
        state.recordLeader(key.term(), key.holder());
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
        new Campaign(loop, node, stateStore, leaseMs, onLoopInPhase(this::handleOutcome)).start();
    }

    private void handleOutcome(Campaign.Outcome outcome) {
        if (outcome instanceof Won won && state.term() <= won.term().number()) {
            formatIncompatible = false;
            lead(won.term(), won.lease());
            return;
        }
        state.abandonCampaign();
        if (outcome instanceof Won won) {
            // A peer has reported a later term, so the lease has ended or is about to.
            endElection(won.term().number(), won.lease());
        } else if (outcome instanceof NotElected lost) {
            formatIncompatible = false;
            endElection(lost.term(), lost.lease());
            if (lost.keyExists()) {
                poll();
                return;
            }
        } else if (outcome instanceof IncompatibleFormat incompatible) {
            recordIncompatibleFormat(incompatible.format());
        }
        schedulePoll();
    }

    private void lead(ElectedTerm term, long lease) {
        log.info("leader elected: term={} leader={} lease={}", term.number(), node, lease);
        state.startLeading(term.number(), lease);
        listener.elected(term);
        scheduleRenewal();
    }

    /** Ends the lease of an election that can't be won any more. */
    private void endElection(long electionTerm, long lease) {
        log.info("campaign abandoned: term={} lease={} knownTerm={}", electionTerm, lease, state.term());
        stateStore.endLease(lease, onLoop(ended -> {}));
    }

    private void recordIncompatibleFormat(int format) {
        if (!formatIncompatible) {
            log.error(
                    "not serving: reason=\"incompatible records in the state store\" format={} supportedFormat={}",
                    format,
                    StateKeys.FORMAT);
        }
        formatIncompatible = true;
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
