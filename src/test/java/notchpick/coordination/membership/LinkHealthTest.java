package notchpick.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import notchpick.coordination.membership.LinkHealth.Condition;
import notchpick.transport.HttpCaller.Response;
import org.junit.jupiter.api.Test;

/** Tests how the condition, latency and rate of a link follow from its traffic. */
class LinkHealthTest {
    private static final Response OK = Response.empty(200);
    private static final Response UNAVAILABLE = Response.empty(503);

    private final LinkHealth link = new LinkHealth(1000);

    @Test
    void isUnknownWithoutTraffic() {
        assertEquals(Condition.UNKNOWN, link.condition());
        assertEquals(-1, link.ageMs(500));
        assertEquals(-1, link.meanLatencyMs());
        assertFalse(link.isActiveWithin(1000, 500));
    }

    @Test
    void distinguishesRefusalSilenceAndUnavailability() {
        link.recordRequest(Response.CONNECTION_REFUSED, 0, 10);
        assertEquals(Condition.REFUSED, link.condition());
        link.recordRequest(Response.UNANSWERED, 0, 20);
        assertEquals(Condition.SILENT, link.condition());
        link.recordRequest(UNAVAILABLE, 0, 30);
        assertEquals(Condition.TURNED_AWAY, link.condition());
        link.recordRequest(OK, 0, 40);
        assertEquals(Condition.UP, link.condition());
    }

    @Test
    void countsOnlyResponsesAndMessagesAsActivity() {
        link.recordMessage(100);
        link.recordRequest(Response.UNANSWERED, 0, 200);
        assertEquals(150, link.ageMs(250));
        assertTrue(link.isActiveWithin(150, 250));
        assertFalse(link.isActiveWithin(149, 250));
    }

    @Test
    void averagesLatency() {
        link.recordRequest(OK, 0, 100);
        assertEquals(100, link.meanLatencyMs());
        link.recordRequest(OK, 100, 300);
        assertEquals(120, link.meanLatencyMs());
    }

    @Test
    void measuresRateOverLastCompletedPeriod() {
        link.recordMessage(100);
        link.recordMessage(200);
        assertEquals(0, link.ratePerS(900));
        assertEquals(2, link.ratePerS(1000));
        assertEquals(0, link.ratePerS(3000));
    }
}
