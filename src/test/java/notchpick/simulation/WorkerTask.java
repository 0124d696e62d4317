package notchpick.simulation;

/** One attempt at a task on a machine. */
final class WorkerTask {
    /** The states of an attempt, with the words that stand for them in heartbeats. */
    enum State {
        FETCHING("fetching"),
        RUNNING("running"),
        SAVING("saving"),
        EXITED("exited");

        private final String wireWord;

        State(String wireWord) {
            this.wireWord = wireWord;
        }

        String wireWord() {
            return wireWord;
        }
    }

    private final String name;
    private final long attempt;
    private State state = State.FETCHING;
    private String exitCause;
    private long startedAtMs;

    WorkerTask(String name, long attempt) {
        this.name = name;
        this.attempt = attempt;
    }

    String name() {
        return name;
    }

    String job() {
        return InvariantChecker.jobOf(name);
    }

    long attempt() {
        return attempt;
    }

    State state() {
        return state;
    }

    /** How the attempt ended, as the word that heartbeats use; null until it has exited. */
    String exitCause() {
        return exitCause;
    }

    long startedAtMs() {
        return startedAtMs;
    }

    boolean hasExited() {
        return state == State.EXITED;
    }

    /** Whether the attempt has started to run and has not exited; false while it fetches its image. */
    boolean isOnMachine() {
        return state == State.RUNNING || state == State.SAVING;
    }

    /** Moves to running, after the image was fetched. */
    void start(long nowMs) {
        state = State.RUNNING;
        startedAtMs = nowMs;
    }

    void startSaving() {
        state = State.SAVING;
    }

    /** Ends the attempt, with the word that heartbeats use for the cause. */
    void exit(String cause) {
        state = State.EXITED;
        exitCause = cause;
    }
}
