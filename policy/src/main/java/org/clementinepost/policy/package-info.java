/** Pure decisions: state and event in, state and effects out; no sockets and no encodings. */
package org.clementinepost.policy;
