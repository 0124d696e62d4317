package notchpick.protocol;

import java.util.List;

/** The outcome of a request to rent machines. */
public sealed interface RentResult {
    /** This request, or an earlier one of the same name, rented these machines, possibly fewer than requested. */
    record Rented(List<String> machines) implements RentResult {}

    /** The cloud has no capacity at present; nothing was rented. */
    record NoCapacity() implements RentResult {}

    /** There was no usable response; machines may or may not have been rented. */
    record Unknown() implements RentResult {}
}
