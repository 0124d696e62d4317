package notchpick.protocol;

import java.util.List;

/**
 * The outcome of a request to the state store.
 *
 * @param <T> what a request that succeeds returns
 */
public sealed interface StateStoreResult<T> {
    /** The request was executed, and returned this. */
    record Ok<T>(T value) implements StateStoreResult<T> {}

    /** The key or lease does not exist, or the revision is not kept any more; nothing was executed. */
    record Missing<T>() implements StateStoreResult<T> {}

    /** A transaction whose conditions failed for these keys; nothing was written. */
    record Conflict<T>(List<String> keys) implements StateStoreResult<T> {}

    /** The request was surely not executed. */
    record Refused<T>(int status) implements StateStoreResult<T> {}

    /** There was no usable response: the request may have been executed, or may be executed later. */
    record Unknown<T>() implements StateStoreResult<T> {}
}
