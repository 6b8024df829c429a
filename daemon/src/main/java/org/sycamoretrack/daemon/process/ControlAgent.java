package org.sycamoretrack.daemon.process;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.Agent;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.IdleStrategy;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.agrona.concurrent.NanoClock;

/**
 * The single thread to which all control state of a node is confined.
 *
 * <p>Other threads submit commands through a bounded queue. If the queue is full, the command is
 * refused and counted; the sender never blocks. Timers run on the same thread, so state that only
 * commands and timers access needs no locks.
 *
 * <p>When idle, the thread parks until the next timer is due, and a sender unparks it. So an idle
 * node wakes up only a few times a second, while a command waits only for the thread to be
 * scheduled.
 *
 * <p>Invariant: commands from one sender run in the order in which they were accepted. If a command
 * or timer throws, the failure is counted and logged, and the thread continues.
 *
 * <p>Example: a timer with a period of 1,000 ms and a jitter share of 0.1 runs after delays that
 * are uniformly distributed between 900 and 1,100 ms.
 */
public final class ControlAgent implements Agent, AutoCloseable {
  private static final System.Logger LOG = System.getLogger(ControlAgent.class.getName());
  private static final int MAX_COMMANDS_PER_CYCLE = 256;
  private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final ManyToOneConcurrentArrayQueue<Runnable> commands;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(timer -> timer.dueNanos));
  private final NanoClock clock;
  private final Random random;
  private final LongAdder refusals = new LongAdder();
  private final LongAdder failures = new LongAdder();
  private final AgentRunner runner;
  private volatile Thread thread;
  private volatile boolean parked;

  /**
   * Creates an agent, which does nothing until {@link #start}.
   *
   * @param queueCapacity the maximum number of queued commands, a power of two
   * @param clock the source of time for timers
   * @param random the source of jitter
   */
  public ControlAgent(int queueCapacity, NanoClock clock, Random random) {
    this.commands = new ManyToOneConcurrentArrayQueue<>(queueCapacity);
    this.clock = clock;
    this.random = random;
    this.runner = new AgentRunner(new ParkingIdleStrategy(), this::onFailure, null, this);
  }

  /** Starts the thread. */
  public void start() {
    AgentRunner.startOnThread(
        runner,
        task -> {
          Thread started = new Thread(task, "control");
          started.setDaemon(true);
          return started;
        });
  }

  /**
   * Submits a command. May be called from any thread.
   *
   * @param command runs on the control thread
   * @return false if the queue is full and the command will not run
   */
  public boolean execute(Runnable command) {
    if (!commands.offer(command)) {
      refusals.increment();
      return false;
    }
    if (parked) {
      LockSupport.unpark(thread);
    }
    return true;
  }

  /**
   * Runs an action repeatedly on the control thread. May be called from any thread; the first run
   * is one period from now.
   *
   * @param name the name that failures are logged under
   * @param periodMs the mean delay between two runs, in milliseconds
   * @param jitterShare the maximum deviation as a share of the period, at least 0 and less than 1
   * @param action the action
   * @return the timer
   */
  public Timer scheduleAtFixedRate(
      String name, long periodMs, double jitterShare, Runnable action) {
    Timer timer = new Timer(name, periodMs, jitterShare, true, action);
    add(timer);
    return timer;
  }

  /**
   * Runs an action once on the control thread. May be called from any thread.
   *
   * @param name the name that failures are logged under
   * @param delayMs the delay, in milliseconds
   * @param action the action
   * @return the timer
   */
  public Timer schedule(String name, long delayMs, Runnable action) {
    Timer timer = new Timer(name, delayMs, 0, false, action);
    add(timer);
    return timer;
  }

  private void add(Timer timer) {
    timer.dueNanos = clock.nanoTime() + timer.nextDelayNanos(random);
    if (isControlThread()) {
      timers.add(timer);
    } else if (!execute(() -> timers.add(timer))) {
      throw new IllegalStateException(
          "control queue is full, timer " + timer.name + " was not scheduled");
    }
  }

  /** Returns the id of the control thread, 0 before it has started. */
  public long threadId() {
    Thread started = thread;
    return started == null ? 0 : started.threadId();
  }

  /** Returns whether the calling thread is the control thread. */
  public boolean isControlThread() {
    return Thread.currentThread() == thread;
  }

  /** Returns the number of commands that were refused because the queue was full. */
  public long refusalCount() {
    return refusals.sum();
  }

  /** Returns the number of commands and timers that threw. */
  public long failureCount() {
    return failures.sum();
  }

  /** Returns the number of queued commands. */
  public int queueLength() {
    return commands.size();
  }

  @Override
  public String roleName() {
    return "control";
  }

  @Override
  public void onStart() {
    thread = Thread.currentThread();
  }

  @Override
  public int doWork() {
    return runCommands() + runTimers();
  }

  private int runCommands() {
    int count = 0;
    Runnable command;
    while (count < MAX_COMMANDS_PER_CYCLE && (command = commands.poll()) != null) {
      run("command", command);
      count++;
    }
    return count;
  }

  private int runTimers() {
    int count = 0;
    long nowNanos = clock.nanoTime();
    Timer timer;
    while ((timer = timers.peek()) != null && timer.dueNanos - nowNanos <= 0) {
      timers.poll();
      if (!timer.cancelled) {
        run(timer.name, timer.action);
        count++;
        reschedule(timer, nowNanos);
      }
    }
    return count;
  }

  private void reschedule(Timer timer, long nowNanos) {
    if (timer.repeats) {
      timer.dueNanos = Math.max(nowNanos, timer.dueNanos) + timer.nextDelayNanos(random);
      timers.add(timer);
    }
  }

  private void run(String name, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      failures.increment();
      LOG.log(System.Logger.Level.ERROR, "control-action-failed " + name, e);
    }
  }

  private void onFailure(Throwable failure) {
    failures.increment();
    LOG.log(System.Logger.Level.ERROR, "control-failed", failure);
  }

  /** Stops the thread and waits for it to end; queued commands are dropped. */
  @Override
  public void close() {
    runner.close();
  }

  /** An action that runs later, once or repeatedly. */
  public static final class Timer {
    private final String name;
    private final long periodMs;
    private final double jitterShare;
    private final boolean repeats;
    private final Runnable action;
    private long dueNanos;
    private volatile boolean cancelled;

    private Timer(
        String name, long periodMs, double jitterShare, boolean repeats, Runnable action) {
      this.name = name;
      this.periodMs = periodMs;
      this.jitterShare = jitterShare;
      this.repeats = repeats;
      this.action = action;
    }

    private long nextDelayNanos(Random random) {
      double factor = 1;
      if (jitterShare > 0) {
        factor += (2 * random.nextDouble() - 1) * jitterShare;
      }
      return (long) (TimeUnit.MILLISECONDS.toNanos(periodMs) * factor);
    }

    /** Cancels the timer; a run in progress is not interrupted. */
    public void cancel() {
      cancelled = true;
    }
  }

  /** Parks until the next timer is due or a sender wakes the thread. */
  private final class ParkingIdleStrategy implements IdleStrategy {
    @Override
    public void idle(int workCount) {
      if (workCount <= 0) {
        idle();
      }
    }

    @Override
    public void idle() {
      long parkNanos = MAX_PARK_NANOS;
      Timer next = timers.peek();
      if (next != null) {
        parkNanos = Math.min(parkNanos, next.dueNanos - clock.nanoTime());
      }
      parked = true;
      if (parkNanos > 0 && commands.isEmpty()) {
        LockSupport.parkNanos(parkNanos);
      }
      parked = false;
    }

    @Override
    public void reset() {
      // This strategy has no state.
    }
  }
}
