package notchpick.simulation;

import java.util.function.BooleanSupplier;
import notchpick.coordination.Deployment;
import notchpick.transport.HttpHandler;

/** Runs the processes of controllers: as objects in simulated time, or as real processes. */
public interface ControllerRunner {
    /**
     * A process to start.
     *
     * @param generation how many processes of this controller were started or ended before, plus one
     * @param isAlive whether the process has not been ended yet
     */
    record ProcessStart(String node, int index, int generation, Deployment deployment, BooleanSupplier isAlive) {}

    /** How requests reach a process that has been started. */
    record Started(HttpHandler clients, HttpHandler peers) {}

    /** Starts a process of a controller. */
    Started start(ProcessStart start);

    /** Ends the controller's process at once. */
    default void kill(String node) {}

    /** Pauses the controller's process for this long. */
    default void pause(String node, long durationMs) {}

    /** How many start commands the controllers have withheld because they violated an invariant. */
    long withheldStarts();

    /** How many launches the controllers have withdrawn before their start command was sent. */
    long withdrawnLaunches();
}
