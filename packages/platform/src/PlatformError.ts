import ModernError from 'modern-errors'

/** Any failure of the platform's table service or object store. @public */
export const PlatformError = ModernError.subclass('PlatformError')

/** The condition of a write did not hold; nothing was written. @public */
export const ConditionFailedError = PlatformError.subclass('ConditionFailedError')

/** The service was not reached or refused the call; nothing was written. @public */
export const UnreachableError = PlatformError.subclass('UnreachableError')

/** The call may have taken effect, but its answer did not come. @public */
export const OutcomeUnknownError = PlatformError.subclass('OutcomeUnknownError')

/** The service refused the call for a reason that a repetition does not change, such as a wrong signature. @public */
export const RejectedError = PlatformError.subclass('RejectedError')
