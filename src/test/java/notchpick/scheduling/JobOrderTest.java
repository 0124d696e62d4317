package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import notchpick.scheduling.JobOrder.WaitingJob;
import notchpick.scheduling.JobSpec.Priority;
import notchpick.scheduling.ServiceObjectives.Kind;
import notchpick.scheduling.ServiceObjectives.Objective;
import org.junit.jupiter.api.Test;

/** The order of a team's jobs. */
class JobOrderTest {
    private static final ServiceObjectives OBJECTIVES = new ServiceObjectives(Map.of(
            "count", List.of(new Objective(Kind.FINISHED, 200)), "prune", List.of(new Objective(Kind.FINISHED, 250))));

    private static WaitingJob<String> job(String id, String jobClass, Priority priority, long ageS, double coreS) {
        JobSpec spec = TestJobs.job(id)
                .jobClass(jobClass)
                .priority(priority)
                .tasks(4)
                .estimateS(20)
                .submittedAtMs(-ageS * 1000)
                .build();
        return new WaitingJob<>(id, spec, coreS, 20);
    }

    @SafeVarargs
    @SuppressWarnings("varargs")
    private static List<String> sorted(WaitingJob<String>... jobs) {
        return JobOrder.sorted(List.of(jobs), 0, OBJECTIVES, 10).stream()
                .map(WaitingJob::job)
                .toList();
    }

    @Test
    void lowPriorityJobPrecedesHigherPriorityJobThatCanWait() {
        assertEquals(
                List.of("low", "normal"),
                sorted(job("normal", "count", Priority.NORMAL, 10, 300), job("low", "prune", Priority.LOW, 180, 200)));
    }

    @Test
    void defersTheLargestOfTheLowestPriorityIfNotAllCanBeOnTime() {
        assertEquals(
                List.of("small", "normal", "large"),
                sorted(
                        job("normal", "count", Priority.NORMAL, 100, 500),
                        job("large", "prune", Priority.LOW, 180, 400),
                        job("small", "prune", Priority.LOW, 170, 30)));
    }

    @Test
    void lateJobsComeLastWithinTheirPriority() {
        assertEquals(
                List.of("normal", "late", "lateLow"),
                sorted(
                        job("late", "count", Priority.NORMAL, 190, 100),
                        job("normal", "count", Priority.NORMAL, 100, 100),
                        job("lateLow", "prune", Priority.LOW, 300, 10)));
    }

    @Test
    void urgentJobsComeFirst() {
        assertEquals(
                List.of("urgent", "low"),
                sorted(job("low", "prune", Priority.LOW, 200, 10), job("urgent", "other", Priority.HIGH, 0, 900)));
    }
}
