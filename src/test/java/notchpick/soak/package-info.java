/** Randomized fault tests on real controller processes over loopback, in real time. */
package notchpick.soak;
