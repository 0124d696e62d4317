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

/** Keeps durable which tasks of open jobs have completed. */
final class CompletionLog {
    /** A range of so many tasks for each byte of a value takes half of the value: a byte encodes six of them. */
    private static final int TASKS_PER_VALUE_BYTE = 3;

    private final ClusterState cluster;
    private final int rangeLength;
    private final Runnable recorded;
    private final PackedRecords<CompletionRange> records;
    /** The ranges of each job that have completions, by their first task. */
    private final Map<Job, Map<Integer, CompletionRange>> ranges = new HashMap<>();

    /** @param recorded is run when completions have become durable */
    CompletionLog(TermContext context, FencedWriter writer, Runnable recorded) {
        Deployment deployment = context.deployment();
        this.cluster = context.cluster();
        this.rangeLength = deployment.maxValueBytes() * TASKS_PER_VALUE_BYTE;
        this.recorded = recorded;
        this.records = new PackedRecords<>(
                writer,
                StateKeys.COMPLETIONS,
                new PackedRecords.Encoding<>(CompletionCodec::maxBytes, CompletionCodec::encode),
                PackedRecords.Packing.BEST_FIT,
                deployment.maxValueBytes(),
                deployment.maxTransactionWrites(),
                this::written);
    }

    /** Takes in a value that a former leader wrote. */
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
            // Another version may have written longer ranges.
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

    private CompletionRange range(Job job, int first) {
        return ranges.computeIfAbsent(job, j -> new HashMap<>())
                .computeIfAbsent(
                        first,
                        f -> new CompletionRange(
                                job, f, Math.min(rangeLength, job.spec().tasks() - f)));
    }

    private void written(List<CompletionRange> durable) {
        durable.forEach(CompletionRange::markSnapshotDurable);
        recorded.run();
    }

    /** The job has ended. */
    void drop(Job job) {
        Map<Integer, CompletionRange> ended = ranges.remove(job);
        if (ended != null) {
            ended.values().forEach(records::remove);
        }
    }

    /** Rewrites the value that holds most of what has ended. */
    void compact() {
        records.compact();
    }
}
