package notchpick.storage;

import java.util.ArrayList;
import java.util.List;
import notchpick.protocol.Transaction;

/** The changes that share one transaction. */
final class WriteBatch {
    /** The store's limit on conditions in a transaction is this multiple of its limit on writes. */
    private static final int MAX_CONDITIONS_PER_WRITE = 4;
    /** Upper bound of the bytes of all values: a transaction may hold 64 KiB, part of it for keys and conditions. */
    private static final int MAX_BYTES = 58 << 10;

    /** A change in the batch, with the name under which it was submitted. */
    record Member(String name, PendingChange change, PreparedChange prepared) {}

    private final int maxWrites;
    private final List<Member> members = new ArrayList<>();
    private int writeCount;
    private int bytes;

    WriteBatch(int maxWrites) {
        this.maxWrites = maxWrites;
    }

    List<Member> members() {
        return members;
    }

    /** Returns the number of keys that the batch writes. */
    int writeCount() {
        return writeCount;
    }

    boolean hasRoomFor(PreparedChange change) {
        return writeCount + change.writes().size() <= maxWrites && bytes + change.maxBytes() <= MAX_BYTES;
    }

    /** Adds a change without checking that it fits. */
    void add(Member member) {
        members.add(member);
        writeCount += member.prepared().writes().size();
        bytes += member.prepared().maxBytes();
    }

    /**
     * Builds the transaction of all writes, on condition that the leader key still has the version of this term.
     * Preconditions beyond the maximum number of conditions are left out.
     */
    Transaction transaction(long leaderVersion, KeyVersions versions) {
        Transaction transaction = new Transaction().requireVersion(StateKeys.LEADER, leaderVersion);
        for (Member member : members) {
            member.prepared().writes().forEach(write -> add(transaction, write, versions));
        }
        members.stream()
                .flatMap(member -> member.prepared().preconditions().versions().entrySet().stream())
                .limit(MAX_CONDITIONS_PER_WRITE * maxWrites - 1 - writeCount)
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
