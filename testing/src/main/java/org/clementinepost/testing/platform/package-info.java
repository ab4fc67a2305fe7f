/** A stand-in server of the platform that injects faults. */
package org.clementinepost.testing.platform;
