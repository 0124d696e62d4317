package notchpick.transport;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/**
 * Collects the results of a batch and passes all of them on once they are complete, or once no more is waited for. To be
 * used on one event loop.
 */
public final class ResultCollector<T> {
    private final List<T> results;
    private final BitSet received;
    private final Consumer<List<T>> callback;
    private int missing;
    private boolean complete;

    /**
     * Waits for so many results.
     *
     * @param missingResult stands for each that is missing when no more is waited for
     * @param callback takes the results, once
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

    /** Takes a result; of several with one index the first counts. */
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

    /** Passes on what has been received, and waits for no more. */
    public void complete() {
        if (!complete) {
            complete = true;
            callback.accept(results);
        }
    }
}
