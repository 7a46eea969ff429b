package grebewick.lifecycle;

import java.lang.reflect.Proxy;

/**
 * Takes a signal of the system. Java's one way is {@code sun.misc.Signal} of jdk.unsupported; named at run time, as
 * the compiler's warning about it cannot be answered, and a JVM without it shall still serve.
 */
public final class SignalHandler {
    private SignalHandler() {}

    /** Runs the task for each such signal, on a thread of its own; false where this JVM has no such thing. */
    public static boolean on(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object calls = Proxy.newProxyInstance(SignalHandler.class.getClassLoader(), new Class<?>[] {handler},
                (self, method, args) -> {
                    if (method.getName().equals("handle")) {
                        task.run();
                    }
                    return null;
                });
            signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance(name), calls);
            return true;
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
