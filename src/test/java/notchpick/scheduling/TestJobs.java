package notchpick.scheduling;

/** Builds job specifications; a test sets only the components that it depends on. */
public final class TestJobs {
    private TestJobs() {}

    /**
     * A job of class "c" and team "a" with one task of one core and 1 GB that may run on spot instances, uses image "i"
     * of 1 GB, and is expected to run for 10 s.
     */
    public static JobSpec.Builder job(String id) {
        return JobSpec.builder(id)
                .jobClass("c")
                .team("a")
                .demand(new Resources(1, 0, 1))
                .spot(true)
                .image("i")
                .imageGb(1)
                .estimateS(10);
    }
}
