package notchpick.coordination;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import notchpick.model.JobRecord;
import notchpick.protocol.StateStoreClient;
import notchpick.protocol.StateStoreClient.Entry;
import notchpick.protocol.StateStoreClient.Listing;
import notchpick.protocol.StateStoreResult.Ok;
import notchpick.storage.JobRecordCodec;
import notchpick.storage.StateKeys;

/**
 * How jobs ended that are not open any more: read from the state service, those of neighbouring ids by one request,
 * and kept, since ends are for good.
 */
public final class JobOutcomes {
    private static final int PAGE = 100;
    private static final int KEPT = 20_000;

    private final StateStoreClient state;
    private final Map<String, JobRecord> known = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobRecord> eldest) {
            return size() > KEPT;
        }
    };

    public JobOutcomes(StateStoreClient state) {
        this.state = state;
    }

    /** How the job ended, if that is known here; null: it may be over all the same. */
    public JobRecord known(String job) {
        return known.get(job);
    }

    public void note(String job, JobRecord record) {
        known.put(job, record);
    }

    /** Gives the ends that are written, by job; null if the state service did not tell. */
    public void read(Collection<String> jobs, Consumer<Map<String, JobRecord>> then) {
        TreeSet<String> left = new TreeSet<>();
        Map<String, JobRecord> found = new HashMap<>();
        for (String job : jobs) {
            JobRecord record = known.get(job);
            if (record == null) {
                left.add(job);
            } else {
                found.put(job, record);
            }
        }
        read(left, found, then);
    }

    private void read(TreeSet<String> left, Map<String, JobRecord> found, Consumer<Map<String, JobRecord>> then) {
        if (left.isEmpty()) {
            then.accept(found);
            return;
        }
        String first = StateKeys.JOB_RECORDS + left.first();
        state.list(StateKeys.JOB_RECORDS, before(first), left.size() == 1 ? 1 : PAGE, result -> {
            if (!(result instanceof Ok<Listing> ok)) {
                then.accept(null);
                return;
            }
            String last = first;
            for (Entry entry : ok.value().entries()) {
                last = entry.key();
                String job = last.substring(StateKeys.JOB_RECORDS.length());
                if (left.remove(job)) {
                    found.put(job, JobRecordCodec.decode(entry.value()));
                    note(job, found.get(job));
                }
            }
            if (ok.value().more()) {
                // What this page has passed over is not there.
                left.headSet(last.substring(StateKeys.JOB_RECORDS.length()), true)
                        .clear();
            } else {
                left.clear();
            }
            read(left, found, then);
        });
    }

    /** A text that sorts before the key and after all others that do. */
    private static String before(String key) {
        char last = key.charAt(key.length() - 1);
        return key.substring(0, key.length() - 1) + (char) (last - 1) + '~';
    }
}
