package notchpick.coordination;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
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
 * Reads and caches the outcomes of jobs that have ended. An outcome never changes, and an open job has none. One
 * request reads the outcomes of jobs with neighbouring ids.
 */
public final class JobOutcomes {
    private static final int PAGE_SIZE = 100;
    private static final int MAX_CACHED = 20_000;

    private final StateStoreClient stateStore;
    private final Map<String, JobRecord> cache = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobRecord> eldest) {
            return size() > MAX_CACHED;
        }
    };

    public JobOutcomes(StateStoreClient stateStore) {
        this.stateStore = stateStore;
    }

    /** The cached outcome of a job. An empty result does not mean that the job is still open. */
    public Optional<JobRecord> cached(String job) {
        return Optional.ofNullable(cache.get(job));
    }

    /** Caches an outcome, which must already be durable. */
    public void cache(String job, JobRecord outcome) {
        cache.put(job, outcome);
    }

    /**
     * Reads the durable outcomes of these jobs.
     *
     * @param then is called with the outcomes by job id, without jobs that have none; empty if a read failed
     */
    public void read(Collection<String> jobs, Consumer<Optional<Map<String, JobRecord>>> then) {
        TreeSet<String> missing = new TreeSet<>();
        Map<String, JobRecord> found = new HashMap<>();
        for (String job : jobs) {
            JobRecord outcome = cache.get(job);
            if (outcome == null) {
                missing.add(job);
            } else {
                found.put(job, outcome);
            }
        }
        readPages(missing, found, then);
    }

    private void readPages(
            NavigableSet<String> missing,
            Map<String, JobRecord> found,
            Consumer<Optional<Map<String, JobRecord>>> then) {
        if (missing.isEmpty()) {
            then.accept(Optional.of(found));
            return;
        }
        String firstKey = StateKeys.JOB_RECORDS + missing.first();
        stateStore.list(StateKeys.JOB_RECORDS, keyBefore(firstKey), missing.size() == 1 ? 1 : PAGE_SIZE, result -> {
            if (result instanceof Ok<Listing> ok) {
                addPage(ok.value(), missing, found);
                readPages(missing, found, then);
            } else {
                then.accept(Optional.empty());
            }
        });
    }

    private void addPage(Listing page, NavigableSet<String> missing, Map<String, JobRecord> found) {
        for (Entry entry : page.entries()) {
            String job = jobIdOf(entry);
            if (missing.remove(job)) {
                JobRecord outcome = JobRecordCodec.decode(entry.value());
                found.put(job, outcome);
                cache(job, outcome);
            }
        }
        if (page.hasMore()) {
            // A job that sorts before the end of this page but is not in it has no record.
            String lastJobId = page.entries().isEmpty()
                    ? missing.first()
                    : jobIdOf(page.entries().get(page.entries().size() - 1));
            missing.headSet(lastJobId, true).clear();
        } else {
            missing.clear();
        }
    }

    private static String jobIdOf(Entry entry) {
        return StateKeys.jobRecordId(entry.key());
    }

    /** A string that sorts before the key and after all keys before it. */
    private static String keyBefore(String key) {
        char lastChar = key.charAt(key.length() - 1);
        return key.substring(0, key.length() - 1) + (char) (lastChar - 1) + '~';
    }
}
