package org.sequoiaspindle.core.state;

/**
 * A person or program that may publish configurations.
 *
 * @param name unique name
 * @param secretHash salted hash of the operator's secret, see {@link SecretHash}
 */
public record Operator(String name, String secretHash) implements NamedObject {}
