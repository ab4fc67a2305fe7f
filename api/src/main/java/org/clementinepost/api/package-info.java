/** Types and result codes that every module shares. */
package org.clementinepost.api;
