/** Measures the CPU time and memory that one real controller uses under the load of a fleet of machines. */
package notchpick.load;
