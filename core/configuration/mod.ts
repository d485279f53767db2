/**
 * The configuration that is in force in one process. No record returns to a lower revision, whatever the order in which pages
 * arrive.
 */
export { createConfiguration } from './create_configuration.ts'
export type { ConfigurationOptions } from './create_configuration.ts'
export type {
  ApplyResult, Configuration, ConfigurationEvent, ConfigurationPage, ConfigurationProblem, RejectedChange
} from './_types.ts'
