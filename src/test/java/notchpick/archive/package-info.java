/** Runs a controller at build time, so that the JVM can archive the classes that it loads. */
package notchpick.archive;
