/**
 * The process: the command line, the settings files, and {@link notchpick.app.Controller}, which creates the components
 * of a controller and routes requests to them.
 */
package notchpick.app;
