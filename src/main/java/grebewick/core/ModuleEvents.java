package grebewick.core;

import grebewick.core.CallControl.Action;
import grebewick.core.CallControl.Event;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/** Events that the module is yet to be told, in order. */
final class ModuleEvents {
    private final CallControl module;
    private final Consumer<Action> actions;
    private final Consumer<String> log;
    private final ArrayDeque<Event> waiting = new ArrayDeque<>();

    /** {@code actions} takes what the module decides, at once. */
    ModuleEvents(CallControl module, Consumer<Action> actions, Consumer<String> log) {
        this.module = module;
        this.actions = actions;
        this.log = log;
    }

    void add(Event event) {
        waiting.add(event);
    }

    /** Tells all of them, and those that come meanwhile. */
    void deliver(long nowUs) {
        for (Event event = waiting.poll(); event != null; event = waiting.poll()) {
            try {
                module.handle(nowUs, event, actions);
            } catch (RuntimeException e) {
                // One broken decision must not take the process down; the call's own deadline still ends it.
                log.accept("module: " + e + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : ""));
            }
        }
    }
}
