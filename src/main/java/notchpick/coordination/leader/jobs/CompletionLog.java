package notchpick.coordination.leader.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import notchpick.coordination.Deployment;
import notchpick.coordination.leader.term.TermContext;
import notchpick.model.ClusterState;
import notchpick.model.CompletionRange;
import notchpick.model.Job;
import notchpick.storage.CompletionCodec;
import notchpick.storage.FencedWriter;
import notchpick.storage.PackedRecords;
import notchpick.storage.RecordedCompletions;
import notchpick.storage.StateKeys;

/** Records durably which tasks of open jobs have completed. */
final class CompletionLog {
    /**
     * The length of a range, in tasks per byte of a value's maximum size. A byte encodes six tasks, so a range takes at
     * most half of a value.
     */
    private static final int TASKS_PER_VALUE_BYTE = 3;

    private final ClusterState cluster;
    private final int rangeLength;
    private final Runnable onRecorded;
    private final PackedRecords<CompletionRange> records;
    /** By job: the ranges that have completions, by their first task. */
    private final Map<Job, Map<Integer, CompletionRange>> ranges = new HashMap<>();

    /** @param onRecorded is run when completions have become durable */
    CompletionLog(TermContext context, FencedWriter writer, Runnable onRecorded) {
        Deployment deployment = context.deployment();
        this.cluster = context.cluster();
        this.rangeLength = deployment.maxValueBytes() * TASKS_PER_VALUE_BYTE;
        this.onRecorded = onRecorded;
        this.records = new PackedRecords<>(
                writer,
                StateKeys.COMPLETIONS,
                new PackedRecords.Encoding<>(CompletionCodec::maxBytes, CompletionCodec::encode),
                PackedRecords.Packing.BEST_FIT,
                deployment.maxValueBytes(),
                deployment.maxTransactionWrites(),
                this::handleRecorded);
    }

    /** Loads a value that a former leader wrote, without the completions of jobs that have ended. */
    void load(String key, JsonNode value) {
        Set<CompletionRange> loaded = new LinkedHashSet<>();
        for (RecordedCompletions range : CompletionCodec.decode(value)) {
            Job job = cluster.job(range.jobId());
            if (job == null) {
                continue;
            }
            range.completed().stream().forEach(bit -> {
                job.complete(range.firstTask() + bit);
                job.markCompletionDurable(range.firstTask() + bit);
            });
            // Another version of the program may have written longer ranges, which are split into several.
            int end = range.firstTask() + Math.max(1, range.completed().length());
            for (int first = range.firstTask() - range.firstTask() % rangeLength; first < end; first += rangeLength) {
                loaded.add(range(job, first));
            }
        }
        records.load(key, loaded);
    }

    /** Records that the task has completed. */
    void record(Job job, int task) {
        records.save(range(job, task - task % rangeLength));
    }

    private CompletionRange range(Job job, int firstTask) {
        return ranges.computeIfAbsent(job, j -> new HashMap<>())
                .computeIfAbsent(
                        firstTask,
                        f -> new CompletionRange(
                                job, f, Math.min(rangeLength, job.spec().tasks() - f)));
    }

    private void handleRecorded(List<CompletionRange> durable) {
        durable.forEach(CompletionRange::markSnapshotDurable);
        onRecorded.run();
    }

    /** Removes the completions of a job that has ended. */
    void drop(Job job) {
        Map<Integer, CompletionRange> ended = ranges.remove(job);
        if (ended != null) {
            ended.values().forEach(records::remove);
        }
    }

    /** Rewrites the stored value in which removed completions take up the most space. */
    void compact() {
        records.compact();
    }
}
