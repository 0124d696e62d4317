package notchpick.transport;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/** Gathers answers that come one by one, and gives all of them at once when there are no more to wait for. */
public final class ResultCollector<T> {
    private final List<T> all;
    private final List<Boolean> have;
    private final Consumer<List<T>> then;
    private int missing;
    private boolean closed;

    /** @param otherwise stands for each that has not come when this is closed */
    public ResultCollector(int count, T otherwise, Consumer<List<T>> then) {
        this.all = new ArrayList<>(Collections.nCopies(count, otherwise));
        this.have = new ArrayList<>(Collections.nCopies(count, false));
        this.then = then;
        this.missing = count;
        if (count == 0) {
            close();
        }
    }

    /** Takes one; of several for the same place the first counts. */
    public void put(int index, T one) {
        if (!closed && !have.get(index)) {
            have.set(index, true);
            all.set(index, one);
            if (--missing == 0) {
                close();
            }
        }
    }

    /** No more is waited for. */
    public void close() {
        if (!closed) {
            closed = true;
            then.accept(all);
        }
    }
}
