package notchpick.transport;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/**
 * Collects the results of a batch and passes all of them to a callback when they are complete, or when
 * {@link #complete} is called. Not thread-safe: all calls must be made on one event loop.
 */
public final class ResultCollector<T> {
    private final List<T> results;
    private final BitSet received;
    private final Consumer<List<T>> callback;
    private int missing;
    private boolean complete;

    /**
     * Creates a collector for this many results.
     *
     * @param missingResult takes the place of each result that is missing when {@link #complete} is called
     * @param callback accepts the results, exactly once
     */
    public ResultCollector(int count, T missingResult, Consumer<List<T>> callback) {
        this.results = new ArrayList<>(Collections.nCopies(count, missingResult));
        this.received = new BitSet(count);
        this.callback = callback;
        this.missing = count;
        if (count == 0) {
            complete();
        }
    }

    /** Stores a result; if there are several for one index, the first one counts. */
    public void put(int index, T result) {
        if (!complete && !received.get(index)) {
            received.set(index);
            results.set(index, result);
            missing--;
            if (missing == 0) {
                complete();
            }
        }
    }

    /** Passes on the results received so far; later results are ignored. */
    public void complete() {
        if (!complete) {
            complete = true;
            callback.accept(results);
        }
    }
}
