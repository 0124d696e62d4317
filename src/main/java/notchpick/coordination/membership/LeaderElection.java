package notchpick.coordination.membership;

import java.util.Random;
import java.util.function.LongSupplier;
import notchpick.coordination.Deployment;
import notchpick.protocol.Json;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Changes;
import notchpick.protocol.StateStoreClient.Conflict;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Missing;
import notchpick.protocol.StateStoreClient.Ok;
import notchpick.protocol.StateStoreClient.Transaction;
import notchpick.storage.Records;
import notchpick.transport.Actor;
import notchpick.transport.EventLoop;

/**
 * Stands for leadership and keeps it. The leadership key hangs on a lease of the state service; the
 * term rises with every election in the same transaction.
 */
public final class LeaderElection extends Actor<LeaderElection.Message> {
    /** What the elector is told. */
    public sealed interface Message {}

    /** Start to look who leads. */
    public record Begin() implements Message {}

    /** The leader can't do its work, or must not go on; somebody else should lead. */
    public record StepDown(String why) implements Message {}

    /** Some controller knows of this term. */
    public record TermSeen(long term, String leader) implements Message {}

    /** What the elector tells. */
    public interface Listener {
        /** This controller leads from now on. */
        void elected(ElectedTerm term);

        /** The leader lease is surely held until then. */
        void leaseRenewed(long leaseUntilMs);

        /** This controller does not lead any more. */
        void deposed();
    }

    /** The wait after the leader's key is gone, as a part of the time between two looks at the most. */
    private static final int CROWD_PART = 4;

    private final String node;
    private final StateStoreClient state;
    private final Random random;
    private final Listener listener;
    private final long leaseMs;
    private final long pollMs;
    private final LongSupplier handicapMs;

    private boolean leading;
    private long lease;
    private long term;
    private String leader;
    private long standAsideUntil;
    private long tenure;
    private boolean foreign;
    private boolean watching;
    /** Since when nobody has been seen to lead; 0: somebody is. */
    private long vacantSince;
    /** Counts the looks that were put off; a newer one takes the place of an older. */
    private long looks;

    /** @param handicapMs how long to leave the field to those that are better connected */
    public LeaderElection(
            EventLoop loop,
            String node,
            StateStoreClient state,
            Random random,
            long leaseMs,
            LongSupplier handicapMs,
            Listener listener) {
        super(loop);
        this.node = node;
        this.state = state;
        this.random = random;
        this.leaseMs = leaseMs;
        this.pollMs = leaseMs / 12;
        this.handicapMs = handicapMs;
        this.listener = listener;
    }

    /** Who leads, as far as is known; null: nobody. */
    public String leader() {
        return leader;
    }

    public long term() {
        return term;
    }

    /** Whether the state service holds what another version left, which must not be touched. */
    public boolean isForeign() {
        return foreign;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            look();
        } else if (message instanceof StepDown stepDown) {
            if (leading) {
                log.info("gives way: {}", stepDown.why());
                standAsideUntil = loop.nowMs() + 4 * leaseMs;
                resign();
            }
        } else if (message instanceof TermSeen seen && seen.term() > term) {
            // A leader that can't reach the state service learns here that its time is over.
            term = seen.term();
            leader = seen.leader();
            if (leading) {
                log.info("term {} has begun elsewhere", term);
                resign();
            }
        }
    }

    private void resign() {
        leading = false;
        tenure++;
        leader = node.equals(leader) ? null : leader;
        listener.deposed();
        state.endLease(lease, here(ended -> {}));
        lookIn(pollMs);
    }

    private void lookLater() {
        lookIn(pollMs + random.nextInt((int) pollMs));
    }

    private void lookIn(long delayMs) {
        long due = ++looks;
        after(delayMs, () -> {
            if (due == looks) {
                look();
            }
        });
    }

    /**
     * Hears at once that the leader's key is gone. Who has been there all along so comes before who just starts,
     * and in a roll before the version that only looks now and then. A short wait by chance spares a crowd.
     */
    private void watch(long version) {
        if (watching) {
            return;
        }
        watching = true;
        state.changes(Records.LEADER, version, leaseMs, here(result -> {
            watching = false;
            if (!leading
                    && result instanceof Ok<Changes> ok
                    && ok.value().log().stream().anyMatch(change -> change.value() == null)) {
                lookIn(random.nextInt((int) Math.max(1, pollMs / CROWD_PART)));
            }
        }));
    }

    private void look() {
        if (leading) {
            return;
        }
        state.getHastily(Records.LEADER, here(result -> {
            if (leading) {
                return;
            }
            if (!(result instanceof Missing<Entry>)) {
                vacantSince = 0;
            } else if (vacantSince == 0) {
                vacantSince = loop.nowMs();
            }
            if (result instanceof Ok<Entry> ok) {
                String holder = ok.value().value().path("node").asText();
                long known = ok.value().value().path("term").asLong();
                if (holder.equals(node)) {
                    // Left by a former life of this controller, or by an election whose answer was lost.
                    leader = null;
                    state.endLease(ok.value().lease(), here(ended -> lookLater()));
                    return;
                }
                if (known >= term) {
                    term = known;
                    leader = holder;
                }
                watch(ok.value().version());
                lookLater();
            } else if (result instanceof Missing<Entry>
                    && loop.nowMs() >= standAsideUntil
                    && loop.nowMs() - vacantSince >= handicapMs.getAsLong()) {
                stand();
            } else {
                if (result instanceof Missing<Entry>) {
                    leader = null;
                }
                lookLater();
            }
        }));
    }

    private void stand() {
        state.get(Records.TERM, here(result -> {
            if (result instanceof Ok<Entry> ok) {
                int format = ok.value().value().path("format").asInt(1);
                boolean known = foreign;
                foreign = format != Records.FORMAT;
                if (foreign && !known) {
                    log.error(
                            "the state service holds records of form {}, this version reads form {}: not serving",
                            format,
                            Records.FORMAT);
                }
                if (foreign) {
                    lookLater();
                    return;
                }
                stand(ok.value().value().path("term").asLong(), ok.value().version());
            } else if (result instanceof Missing<Entry>) {
                stand(0, 0);
            } else {
                lookLater();
            }
        }));
    }

    private void stand(long formerTerm, long termVersion) {
        long sentAt = loop.nowMs();
        state.grantLease(leaseMs, here(granted -> {
            if (!(granted instanceof Ok<Long> ok)) {
                lookLater();
                return;
            }
            long newLease = ok.value();
            long newTerm = formerTerm + 1;
            Transaction transaction = new Transaction()
                    .guard(Records.LEADER, 0)
                    .guard(Records.TERM, termVersion)
                    .put(Records.LEADER, Json.object().put("node", node).put("term", newTerm), newLease)
                    .put(Records.TERM, Json.object().put("term", newTerm).put("format", Records.FORMAT));
            state.commit(transaction, here(result -> {
                if (result instanceof Ok<Long> version) {
                    leading = true;
                    tenure++;
                    lease = newLease;
                    term = newTerm;
                    leader = node;
                    log.info("leads term {}", term);
                    listener.elected(
                            new ElectedTerm(term, version.value(), sentAt + Deployment.leaseSafelyHeldMs(leaseMs)));
                    renewLater(tenure);
                } else {
                    // Without an answer the key may appear yet; then it goes with this lease.
                    state.endLease(newLease, here(ended -> {}));
                    if (result instanceof Conflict<Long>) {
                        look();
                    } else {
                        lookLater();
                    }
                }
            }));
        }));
    }

    private void renewLater(long during) {
        after(leaseMs / 5, () -> renew(during));
    }

    private void renew(long during) {
        if (!leading || during != tenure) {
            return;
        }
        long sentAt = loop.nowMs();
        state.renewLease(lease, here(result -> {
            if (!leading || during != tenure) {
                return;
            }
            if (result instanceof Ok<Boolean>) {
                listener.leaseRenewed(sentAt + Deployment.leaseSafelyHeldMs(leaseMs));
            } else if (result instanceof Missing<Boolean>) {
                log.info("lost the lease of term {}", term);
                leading = false;
                leader = null;
                listener.deposed();
                look();
                return;
            }
            renewLater(during);
        }));
    }
}
