import ModernError from 'modern-errors'

/** The store refused a call, or answered what cannot be read. @public */
export const StoreError = ModernError.subclass('StoreError')
