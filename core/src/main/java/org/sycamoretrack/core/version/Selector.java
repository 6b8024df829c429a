package org.sycamoretrack.core.version;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Selects resources by their labels. Immutable.
 *
 * <p>All labels and expressions must match. The empty selector matches everything.
 *
 * <p>Example: {@code matchLabels {site=svea}} and the expression {@code tier In [a, b]} match the
 * labels {@code {site=svea, tier=b}}, but neither {@code {site=svea}} nor {@code {tier=b}}. {@code
 * tier NotIn [a]} matches {@code {site=svea}}, which has no label {@code tier}.
 *
 * @param matchLabels the labels that must be present with these values
 * @param matchExpressions the requirements that must hold in addition
 */
public record Selector(Map<String, String> matchLabels, List<Requirement> matchExpressions) {
  /** The selector that matches everything. */
  public static final Selector EVERYTHING = new Selector(Map.of(), List.of());

  /** Copies the collections. */
  public Selector {
    matchLabels = Collections.unmodifiableMap(new TreeMap<>(matchLabels));
    matchExpressions = List.copyOf(matchExpressions);
  }

  /** The operator of a requirement. */
  public enum Operator {
    /** The label is present and has one of the values. */
    IN("In", true),
    /** The label is absent or has none of the values. */
    NOT_IN("NotIn", true),
    /** The label is present. */
    EXISTS("Exists", false),
    /** The label is absent. */
    DOES_NOT_EXIST("DoesNotExist", false);

    private final String wireName;
    private final boolean takesValues;

    Operator(String wireName, boolean takesValues) {
      this.wireName = wireName;
      this.takesValues = takesValues;
    }

    /** Returns the name in JSON, for example {@code NotIn}. */
    public String wireName() {
      return wireName;
    }

    /** Returns whether the operator requires values; otherwise values are not allowed. */
    public boolean takesValues() {
      return takesValues;
    }
  }

  /**
   * A requirement on one label.
   *
   * @param key the key of the label
   * @param operator the operator
   * @param values the operands; at least one if the operator takes values, else none
   */
  public record Requirement(String key, Operator operator, Set<String> values) {
    /**
     * Checks that values are given if and only if the operator takes them.
     *
     * @throws IllegalArgumentException if they are not
     */
    public Requirement {
      Objects.requireNonNull(key, "key");
      values = Collections.unmodifiableSet(new TreeSet<>(values));
      if (values.isEmpty() == operator.takesValues()) {
        throw new IllegalArgumentException(
            operator.wireName()
                + (values.isEmpty() ? " requires at least one value" : " does not accept values"));
      }
    }

    boolean matches(Map<String, String> labels) {
      String value = labels.get(key);
      return switch (operator) {
        case IN -> value != null && values.contains(value);
        case NOT_IN -> value == null || !values.contains(value);
        case EXISTS -> value != null;
        case DOES_NOT_EXIST -> value == null;
      };
    }
  }

  /**
   * Returns whether this selector matches a set of labels.
   *
   * @param labels the labels of a resource, including the implied ones
   */
  public boolean matches(Map<String, String> labels) {
    return matchLabels.entrySet().stream()
            .allMatch(label -> label.getValue().equals(labels.get(label.getKey())))
        && matchExpressions.stream().allMatch(requirement -> requirement.matches(labels));
  }
}
