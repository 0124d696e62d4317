package notchpick.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Addresses that are reserved for a process that is still starting are not given out a second time. */
class LoopbackAddressesTest {
    private static final String HOST = "127.91.0.1";
    /** So many that without the exclusion some would almost certainly be given out twice. */
    private static final int COUNT = 500;

    @Test
    void reservedAddressesAreNotAllocatedAgain() throws IOException {
        Set<String> reserved = new HashSet<>(LoopbackAddresses.allocate(HOST, COUNT, Set.of()));
        List<String> others = LoopbackAddresses.allocate(HOST, COUNT, reserved);
        assertEquals(COUNT, Set.copyOf(others).size());
        others.retainAll(reserved);
        assertEquals(List.of(), others);
    }
}
