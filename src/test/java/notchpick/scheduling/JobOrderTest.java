package notchpick.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import notchpick.scheduling.JobOrder.Waiting;
import notchpick.scheduling.JobSpec.Priority;
import notchpick.scheduling.ServiceObjectives.Kind;
import notchpick.scheduling.ServiceObjectives.Objective;
import org.junit.jupiter.api.Test;

/** The order of a team's jobs. */
class JobOrderTest {
    private static final ServiceObjectives OBJECTIVES = new ServiceObjectives(Map.of(
            "count", List.of(new Objective(Kind.FINISHED, 200)), "prune", List.of(new Objective(Kind.FINISHED, 250))));

    private static Waiting<String> job(String id, String jobClass, Priority priority, long ageS, double coreS) {
        JobSpec spec = TestJobs.job(id)
                .jobClass(jobClass)
                .priority(priority)
                .tasks(4)
                .estimateS(20)
                .submittedAt(-ageS * 1000)
                .build();
        return new Waiting<>(id, spec, coreS, 20);
    }

    @SafeVarargs
    @SuppressWarnings("varargs")
    private static List<String> sorted(Waiting<String>... jobs) {
        return JobOrder.sorted(List.of(jobs), 0, OBJECTIVES, 10).stream()
                .map(Waiting::job)
                .toList();
    }

    @Test
    void aLowOneThatIsDueGoesBeforeOneThatCanWait() {
        assertEquals(
                List.of("low", "normal"),
                sorted(job("normal", "count", Priority.NORMAL, 10, 300), job("low", "prune", Priority.LOW, 180, 200)));
    }

    @Test
    void whereNotAllCanBeInTimeTheLowestAndLargestIsLeft() {
        assertEquals(
                List.of("small", "normal", "large"),
                sorted(
                        job("normal", "count", Priority.NORMAL, 100, 500),
                        job("large", "prune", Priority.LOW, 180, 400),
                        job("small", "prune", Priority.LOW, 170, 30)));
    }

    @Test
    void whatIsLateGoesLastWithinItsPriority() {
        assertEquals(
                List.of("normal", "late", "lateLow"),
                sorted(
                        job("late", "count", Priority.NORMAL, 190, 100),
                        job("normal", "count", Priority.NORMAL, 100, 100),
                        job("lateLow", "prune", Priority.LOW, 300, 10)));
    }

    @Test
    void urgentOnesGoFirst() {
        assertEquals(
                List.of("urgent", "low"),
                sorted(job("low", "prune", Priority.LOW, 200, 10), job("urgent", "other", Priority.HIGH, 0, 900)));
    }
}
