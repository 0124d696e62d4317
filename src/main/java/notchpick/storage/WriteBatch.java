package notchpick.storage;

import java.util.ArrayList;
import java.util.List;
import notchpick.protocol.Transaction;

/** Changes that share a transaction. */
final class WriteBatch {
    /** The state store takes this many conditions in a transaction for each write that it takes. */
    private static final int CONDITIONS_PER_WRITE = 4;
    /** A transaction may hold 64 KiB in all; keys and conditions take some of it. */
    private static final int MAX_BYTES = 58 << 10;

    /** A change of the batch under the name by which it was submitted. */
    record Member(String name, PendingChange change, PreparedChange prepared) {}

    private final int maxWrites;
    private final List<Member> members = new ArrayList<>();
    private int writes;
    private int bytes;

    WriteBatch(int maxWrites) {
        this.maxWrites = maxWrites;
    }

    List<Member> members() {
        return members;
    }

    /** The number of keys that the batch writes. */
    int writes() {
        return writes;
    }

    boolean hasRoomFor(PreparedChange change) {
        return writes + change.writes().size() <= maxWrites && bytes + change.maxBytes() <= MAX_BYTES;
    }

    /** Adds a change, even if it does not fit. */
    void add(Member member) {
        members.add(member);
        writes += member.prepared().writes().size();
        bytes += member.prepared().maxBytes();
    }

    /** The transaction of all writes, on condition that the leader key still has the version of this term. */
    Transaction transaction(long leaderVersion, KeyVersions versions) {
        Transaction transaction = new Transaction().requireVersion(StateKeys.LEADER, leaderVersion);
        for (Member member : members) {
            member.prepared().writes().forEach(write -> add(transaction, write, versions));
        }
        members.stream()
                .flatMap(member -> member.prepared().preconditions().versions().entrySet().stream())
                .limit(CONDITIONS_PER_WRITE * maxWrites - 1 - writes)
                .forEach(condition -> transaction.requireVersion(condition.getKey(), condition.getValue()));
        return transaction;
    }

    private static void add(Transaction transaction, KeyWrite write, KeyVersions versions) {
        if (write.precondition() != KeyWrite.Precondition.NONE) {
            transaction.requireVersion(write.key(), versions.expected(write));
        }
        if (write.isDelete()) {
            transaction.delete(write.key());
        } else {
            transaction.put(write.key(), write.value());
        }
    }
}
