package notchpick.protocol;

import java.util.List;

/**
 * The outcome of a request to the state store.
 *
 * @param <T> the type of the value that a successful request returns
 */
public sealed interface StateStoreResult<T> {
    /** The request was executed and returned this value. */
    record Ok<T>(T value) implements StateStoreResult<T> {}

    /** The key or lease does not exist, or the revision is no longer kept; nothing was executed. */
    record Missing<T>() implements StateStoreResult<T> {}

    /** The conditions of a transaction failed for these keys; nothing was written. */
    record Conflict<T>(List<String> keys) implements StateStoreResult<T> {}

    /** The state store refused the request with this HTTP status; it was certainly not executed. */
    record Refused<T>(int status) implements StateStoreResult<T> {}

    /** There was no usable response; the request may have been executed or may still be executed later. */
    record Unknown<T>() implements StateStoreResult<T> {}
}
